# Sections of tables that shrink; mutants.sh sources this.
mutant removed_rows_not_counted internal/table/resize.go \
	'return isSparse || float64(removed) >= shrunkShare*known.tableRows' 'return isSparse && removed < 0' internal/table TestSectionReadWhileTableShrinks
