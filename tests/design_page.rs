//! Checks that docs/design.md names only functions and constants that exist.

#![allow(clippy::expect_used, reason = "a failed expectation fails the test")]

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

/// Returns the text of the page, and the source texts of the modules in src/decision by module name.
fn page_and_modules() -> (String, BTreeMap<String, String>) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = fs::read_to_string(root.join("docs/design.md")).expect("docs/design.md is readable");
    let mut modules = BTreeMap::new();
    for entry in fs::read_dir(root.join("src/decision")).expect("src/decision is readable") {
        let path = entry.expect("src/decision is readable").path();
        let name = path.file_stem().expect("a file has a name");
        let text = fs::read_to_string(&path).expect("a module's file is readable");
        modules.insert(name.to_string_lossy().into_owned(), text);
    }
    (page, modules)
}

/// Returns the code spans of a page, that is, the texts between backquotes.
fn code_spans(page: &str) -> impl Iterator<Item = &str> {
    page.lines()
        .flat_map(|line| line.split('`').skip(1).step_by(2))
}

/// Returns the functions that the page names, as `module::function`. Before the section on the dispatcher these are all
/// code spans; in that section only those with the prefix `decision::`, as it names functions of other packages too.
fn function_paths(page: &str) -> Vec<&str> {
    let (decisions, dispatcher) = page
        .split_once("## The real dispatcher")
        .expect("docs/design.md has a section on the real dispatcher");
    let in_decisions = code_spans(decisions).filter(|name| *name != "module::function");
    let in_dispatcher = code_spans(dispatcher).filter_map(|name| name.strip_prefix("decision::"));
    in_decisions.chain(in_dispatcher).collect()
}

#[test]
fn each_function_that_the_design_page_names_exists_in_its_module() {
    let (page, modules) = page_and_modules();
    let paths = function_paths(&page);
    let named: Vec<_> = paths
        .iter()
        .filter_map(|path| path.split_once("::"))
        .collect();
    for (module, function) in &named {
        let text = modules.get(*module);
        let text = text.unwrap_or_else(|| panic!("no module src/decision/{module}.rs"));
        let defined = ["(", "<"]
            .iter()
            .any(|next| text.contains(&format!("fn {function}{next}")));
        assert!(
            defined,
            "no function {function} in src/decision/{module}.rs"
        );
    }
    assert!(
        named.len() > 50,
        "docs/design.md names {} functions, expected more than 50",
        named.len()
    );
}

#[test]
fn each_constant_that_the_design_page_names_exists() {
    let (page, modules) = page_and_modules();
    let is_constant = |name: &&str| {
        name.contains('_') && name.chars().all(|c| c.is_ascii_uppercase() || c == '_')
    };
    let mut checked = 0;
    for name in code_spans(&page).filter(is_constant) {
        let defined = modules["constants"].contains(&format!("const {name}:"));
        assert!(defined, "no constant {name} in src/decision/constants.rs");
        checked += 1;
    }
    assert!(
        checked > 15,
        "docs/design.md names {checked} constants, expected more than 15"
    );
}
