//! The help text.

/// `HELP` is the help text; docs/OPERATIONS.md explains the commands at length.
pub(crate) const HELP: &str = "\
ragwortwick: command line for the operators of ragwortwick

usage: ragwortwick [OPTIONS] COMMAND

  status [--all]              zones, owners, guarantees, workers and runners of the whole fleet;
                              --all lists healthy workers and runners too

  table show                  the table in force
  table export FILE           write it to a new CSV file that opens in a spreadsheet
  table edit FILE [CHANGE]... export it if FILE does not exist, make the changes, check the file
      --add PART/KEY          add a row, such as classes/padana/pass-plan
      --set PART/KEY/COLUMN=VALUE
                              set a cell, such as guarantees/padana/north/8/cells=3
      --remove PART/KEY       remove a row
  table review FILE           what accepting FILE would change and do, and every mistake in it
  table accept FILE           review FILE again, ask, and put it in force
  table rebase FILE           carry the edits in FILE over to the table in force, after someone else
                              accepted one
  table history [--limit N]   the accepted tables, newest first: who, when, why and what
  table revert-to NUMBER      accept the rows of an earlier table again
      --reason TEXT           accept, revert-to: why, for the history (required)
      --by NAME               accept, revert-to: who, if not USER
      --yes                   accept, revert-to: do not ask
      --nonce TEXT            accept, revert-to: repeat an acceptance whose outcome was unknown

  job list [--after ID] [--limit N]
                              accepted jobs
  job show ID                 one job whole
  job why ID                  why it waits or where it runs, in words
  job cancel ID               cancel it; repeats are harmless

  ends FILE...                how the jobs fared whose ends are in hosts' logs: waits, what made them
                              late, work to do again; asks no entry host

options:
  --entry ADDRESS[,ADDRESS]   entry hosts to ask, tried in order (or RAGWORTWICK_ENTRY)
  --timeout-ms N              longest wait for one host's answer, 10000 if not given
  --json                      print JSON for scripts, failures too
  -h, --help                  this text
  --version                   the version

exit codes: 0 done, 1 failed, 2 wrong arguments, 3 no entry host answers,
  4 mistakes in the table or a field, 5 someone else accepted first, 6 the store is away,
  7 nothing of that name
";
