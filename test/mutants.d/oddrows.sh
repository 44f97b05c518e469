# Mutants of rows that other writers damaged; mutants.sh sources this.
mutant damaged_row_hides_others platform/storeanswer.go \
	'if json.Unmarshal(body, &answer) != nil {' 'if err = json.Unmarshal(body, &answer); false {' platform TestDamagedRowHidesNoOthers
