package cell

// DisableShortcuts makes plans compute anew what they otherwise know from earlier ones. It is called before any job is
// added.
func (cl *Cell) DisableShortcuts() { cl.noShortcuts = true }
