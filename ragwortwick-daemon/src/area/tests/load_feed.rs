//! Pictures of the load that a host can't use.

use ragwortwick_adapter::{KeyValue, WatchEvent};
use ragwortwick_area::LoadPicture;
use ragwortwick_core::{DurationMs, Revision, TimeMs};

use super::super::keys::LOAD_KEY;
use super::super::load_feed::SharedLoadPicture;

fn written(value: &[u8]) -> WatchEvent {
    WatchEvent::Written(KeyValue {
        key: LOAD_KEY.to_owned(),
        value: value.to_vec(),
        revision: Revision(1),
    })
}

/// Guards against a host that acts on a picture that it can't read, or goes on with the one before.
#[test]
fn verify_an_unreadable_picture_replaces_the_one_before() {
    let load = SharedLoadPicture::default();
    let picture = br#"{"version":1,"queues":{"q":{"wait_ms":9000,"duration_percent":100}}}"#;
    for unreadable in [
        &b"\xff"[..],
        b"",
        b"[]",
        br#"{"version":2,"queues":{}}"#,
        br#"{"version":1,"queues":{"q":{"wait_ms":-1,"duration_percent":100}}}"#,
    ] {
        load.apply(TimeMs(1_000), &written(picture));
        let (heard, age_ms) = load.newest(TimeMs(1_300)).expect("a picture");
        assert!(heard.queues.contains_key(&"q".into()));
        assert_eq!(age_ms, DurationMs(300));
        load.apply(TimeMs(1_400), &written(unreadable));
        assert!(load.newest(TimeMs(1_500)).is_none(), "{unreadable:?}");
    }
}

/// Guards against a layout that the coordinator writes and hosts can't read.
#[test]
fn verify_an_empty_picture_of_this_version_is_readable() {
    let load = SharedLoadPicture::default();
    let picture = LoadPicture {
        version: 1,
        ..LoadPicture::default()
    };
    let value = serde_json::to_vec(&picture).expect("plain fields");
    load.apply(TimeMs(5), &written(&value));
    assert!(load.newest(TimeMs(6)).is_some());
}
