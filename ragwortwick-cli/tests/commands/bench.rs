//! Entry hosts and a store in this process, and commands run against them.

use std::path::PathBuf;

use ragwortwick_border::{HostEntry, HostKind, HostState};
use ragwortwick_cli::{Environment, Outcome};
use ragwortwick_daemon::{Daemon, Settings};
use ragwortwick_standin::{Faults, Store, wait_until};
use tempfile::TempDir;

/// Rows of a first table: a customer with a guarantee and a class.
pub const FIRST_ROWS: [&str; 26] = [
    "--add",
    "customers/civil",
    "--set",
    "customers/civil/weight=2",
    "--set",
    "customers/civil/max_queued_jobs=100",
    "--add",
    "guarantees/civil/north/8",
    "--set",
    "guarantees/civil/north/8/cells=1",
    "--add",
    "classes/civil/pass-plan",
    "--set",
    "classes/civil/pass-plan/urgent=true",
    "--set",
    "classes/civil/pass-plan/weight=1",
    "--set",
    "classes/civil/pass-plan/worth=2",
    "--set",
    "classes/civil/pass-plan/deadline_ms=60000",
    "--set",
    "classes/civil/pass-plan/max_in_flight=50",
    "--set",
    "classes/civil/pass-plan/max_queued=200",
    "--set",
    "classes/civil/pass-plan/rate_per_s=100",
];

/// `Bench` is a store with one entry host and a directory for files.
pub struct Bench {
    pub store: Store,
    pub daemon: Daemon,
    directory: TempDir,
}

impl Bench {
    pub async fn open() -> Self {
        let store = Store::bind("127.0.0.1:0").await.expect("store");
        let address = store.address();
        let text = format!(
            r#"{{
                "host": "e1", "zone": "north",
                "listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0",
                "store_address": "{address}", "hosts_address": "{address}",
                "drain_notice_ms": 0
            }}"#
        );
        let settings = Settings::parse(&text).expect("settings");
        Self {
            daemon: Daemon::spawn(settings).await.expect("daemon"),
            store,
            directory: tempfile::tempdir().expect("directory"),
        }
    }

    /// The bench with the first table in force.
    pub async fn open_with_table() -> Self {
        let bench = Self::open().await;
        let file = bench.file("first.csv");
        let mut words = vec!["table", "edit", &file];
        words.extend(FIRST_ROWS);
        bench.ok(&words).await;
        bench.accept(&file, "first").await;
        bench
    }

    /// The path of a file in the bench's directory.
    pub fn file(&self, name: &str) -> String {
        let path: PathBuf = self.directory.path().join(name);
        path.display().to_string()
    }

    /// Exports to a new file and sets cells in it.
    pub async fn edited(&self, name: &str, cells: &[&str]) -> String {
        let file = self.file(name);
        self.ok(&["table", "export", &file]).await;
        for cell in cells {
            self.ok(&["table", "edit", &file, "--set", cell]).await;
        }
        file
    }

    pub async fn accept(&self, file: &str, reason: &str) -> Outcome {
        self.run(&["table", "accept", file, "--yes", "--reason", reason])
            .await
    }

    /// Runs a command that must succeed and gives its text.
    pub async fn ok(&self, words: &[&str]) -> String {
        let outcome = self.run(words).await;
        assert_eq!(outcome.exit_code, 0, "{words:?}: {outcome:?}");
        outcome.stdout
    }

    /// Runs a command that must fail with this exit code and gives its message.
    pub async fn fails(&self, exit_code: u8, words: &[&str]) -> String {
        let outcome = self.run(words).await;
        assert_eq!(outcome.exit_code, exit_code, "{words:?}: {outcome:?}");
        assert!(outcome.stderr.contains("way out: "), "{outcome:?}");
        outcome.stderr
    }

    pub async fn run(&self, words: &[&str]) -> Outcome {
        let entry = self.daemon.address().to_string();
        let mut all = vec!["--entry", &entry];
        all.extend(words);
        run(&all).await
    }

    /// Lists a worker of eight accelerators and waits until the entry host has read the list.
    pub async fn list_worker(&self, name: &str, zone: &str) {
        self.store.put_host(HostEntry {
            name: name.into(),
            kind: HostKind::Worker,
            state: HostState::Live,
            zone: zone.into(),
            rack: Some("rack-1".into()),
            // Nothing answers there; the worker is only counted.
            address: "127.0.0.1:9".to_owned(),
            peer_address: None,
            accelerators: 8,
            slots: 0,
        });
        let reads = self.reads_of_hosts();
        wait_until("the host list is read twice", async || {
            self.reads_of_hosts() >= reads + 2
        })
        .await;
    }

    fn reads_of_hosts(&self) -> u64 {
        self.store.calls().get("hosts").copied().unwrap_or_default()
    }

    pub fn set_faults(&self, faults: Faults) {
        self.store.set_faults(faults);
    }

    pub async fn close(self) {
        Box::pin(self.daemon.close()).await;
        self.store.close().await;
    }
}

/// Runs a command line as the operator ada, who sits at no terminal.
pub async fn run(words: &[&str]) -> Outcome {
    let arguments = words.iter().map(Into::into).collect();
    let environment = Environment {
        user: Some("ada".to_owned()),
        ..Environment::default()
    };
    tokio::task::spawn_blocking(move || ragwortwick_cli::run(arguments, &environment))
        .await
        .expect("the command ends")
}
