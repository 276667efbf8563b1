package standin

// InvalidFields are lines of a head that HTTP forbids, by what is wrong with them.
var InvalidFields = map[string]string{
	"blank in the name":              "X Trouble: v",
	"blank before the colon":         "X-Trouble : v",
	"blank for a name":               " : v",
	"tab in the name":                "X\tTrouble: v",
	"tab before the colon":           "X-Trouble\t: v",
	"no name":                        ": v",
	"no colon":                       "X-Trouble",
	"NUL in the name":                "X\x00Trouble: v",
	"control byte in the name":       "X\x1fTrouble: v",
	"DEL in the name":                "X\x7fTrouble: v",
	"carriage return in the name":    "X\rTrouble: v",
	"byte over 127 in the name":      "X\xe9: v",
	"separator in the name":          "X(Trouble): v",
	"name over two lines":            "X-\r\n Trouble: v",
	"NUL in the value":               "X-Trouble: a\x00b",
	"control byte in the value":      "X-Trouble: a\x01b",
	"DEL in the value":               "X-Trouble: a\x7fb",
	"carriage return in the value":   "X-Trouble: a\rb",
	"escape in the signature":        "X-Upstream-Signature: \x1b[0m",
	"blank in a name with two lines": "X Trouble: v\r\n w",
}
