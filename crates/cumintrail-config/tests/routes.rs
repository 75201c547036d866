//! Declaration of routes for relayed calls, and the lookup by host and path.

use cumintrail_config::{Document, Problems, Snapshot};
use cumintrail_types::{CallClass, Generation};

const BASE: &str = "[deployment]\nfirst_preset = day\n[preset day]\n[model curd]\n[service desk]\n";

fn build(routes: &str) -> Result<Snapshot, Problems> {
    let text = format!("{BASE}{routes}");
    let document = Document::parse(&"routes".into(), &text)?;
    Snapshot::build(Generation(1), &document.sections, None, None)
}

fn found<'a>(snapshot: &'a Snapshot, host: &str, path: &str) -> Option<&'a str> {
    let route = snapshot.routes.get(snapshot.routes.find(host, path)?)?;
    Some(&route.name)
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let snapshot = build(
        "[route root]\nhost = a.example\nprefix = /\nto = desk\n\
         [route deep]\nhost = A.example\nprefix = /x/y/\nto = curd\nclass = stream\n\
         [route other]\nhost = b.example\nprefix = /x/\nto = desk\nclass = repeatable\n",
    )
    .unwrap();
    assert_eq!(found(&snapshot, "a.example", "/x/y/z"), Some("deep"));
    assert_eq!(found(&snapshot, "A.EXAMPLE:8080", "/x/y/"), Some("deep"));
    assert_eq!(found(&snapshot, "a.example", "/x/yz"), Some("root"));
    assert_eq!(found(&snapshot, "b.example", "/x/1"), Some("other"));
    assert_eq!(found(&snapshot, "b.example", "/y"), None);
    assert_eq!(found(&snapshot, "c.example", "/"), None);
}

#[test]
fn classes_say_what_may_be_repeated() {
    for (name, class, repeatable) in [
        ("once", CallClass::Once, false),
        ("repeatable", CallClass::Repeatable, true),
        ("stream", CallClass::Stream, false),
        ("resumable-stream", CallClass::ResumableStream, true),
    ] {
        let text = format!("[route r]\nhost = a\nprefix = /\nto = desk\nclass = {name}\n");
        let snapshot = build(&text).unwrap();
        let route = snapshot.routes.get(snapshot.routes.find("a", "/").unwrap()).unwrap();
        assert_eq!((route.class, route.class.is_repeatable()), (class, repeatable));
    }
}

#[test]
fn a_split_follows_its_weights() {
    let snapshot = build("[route r]\nhost = a\nprefix = /\nto = desk:1, curd:3\n").unwrap();
    let route = snapshot.routes.get(snapshot.routes.find("a", "/").unwrap()).unwrap();
    let desk = snapshot.target_kind("desk");
    let chosen = (0..4_000).filter(|drawn| route.choose_kind(*drawn) == desk).count();
    assert_eq!(chosen, 1_000);
}

#[test]
fn bad_routes_are_reported_with_a_hint() {
    let problems = build("[route r]\nhost = a\nprefix = x\nto = desc\nclass = safe\n").unwrap_err();
    let text = problems.to_string();
    for part in ["`x` is no prefix", "slash", "`desc` names nothing", "`class = safe`"] {
        assert!(text.contains(part), "{text}");
    }
}
