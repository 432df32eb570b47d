//! docs/OPERATIONS.md names the exit codes and commands that the command line really has.

use ragwortwick_cli::ExitClass;

use crate::bench::run;

const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");

#[test]
fn verify_the_page_has_each_exit_code() {
    for class in ExitClass::ALL {
        let row = format!("| {} | {class}", class.code());
        assert!(PAGE.contains(&row), "docs/OPERATIONS.md lacks {row}");
    }
}

#[tokio::test]
async fn verify_the_page_shows_each_command_of_the_help() {
    let help = run(&["--help"]).await.stdout;
    let commands = help.lines().filter_map(|line| {
        let words = line.strip_prefix("  ")?;
        let is_command = ["status", "table ", "job ", "ends "]
            .iter()
            .any(|w| words.starts_with(w));
        is_command.then_some(words)
    });
    let mut count = 0;
    for line in commands {
        let words: Vec<&str> = line.split_whitespace().collect();
        let name = if ["status", "ends"].contains(&words[0]) {
            format!("ragwortwick {}", words[0])
        } else {
            format!("{} {}", words[0], words[1])
        };
        assert!(PAGE.contains(&name), "docs/OPERATIONS.md lacks {name}");
        count += 1;
    }
    assert_eq!(count, 14);
}
