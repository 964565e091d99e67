//! Checks the documents against the repository: links lead to existing files, linked names are defined in the linked
//! source files, and the architecture page names every package.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a failed expectation fails the test"
)]

use std::fs;
use std::path::{Path, PathBuf};

const ARCHITECTURE: &str = "docs/ARCHITECTURE.md";

/// A Markdown link of a page: its text and its target, both as written.
struct Link {
    text: String,
    target: String,
}

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn read(path: &Path) -> String {
    fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Returns the pages at the root and in docs/. Incident reports in folders below are left out: they describe the code
/// as it was at the time.
fn pages() -> Vec<PathBuf> {
    let mut pages = Vec::new();
    for folder in [root().to_owned(), root().join("docs")] {
        for entry in fs::read_dir(folder).expect("a folder of the repository is readable") {
            let path = entry
                .expect("a folder of the repository is readable")
                .path();
            if path.extension().is_some_and(|extension| extension == "md") {
                pages.push(path);
            }
        }
    }
    pages.sort();
    pages
}

/// Returns the links of a page that lead to files of the repository.
fn links(page: &str) -> Vec<Link> {
    let mut links = Vec::new();
    let mut rest = page;
    while let Some(middle) = rest.find("](") {
        let text = &rest[rest[..middle].rfind('[').map_or(0, |start| start + 1)..middle];
        let after = &rest[middle + 2..];
        let end = after.find(')').unwrap_or(after.len());
        links.push(Link {
            text: text.to_owned(),
            target: after[..end].to_owned(),
        });
        rest = &after[end..];
    }
    links.retain(|link| !link.target.contains("://") && !link.target.starts_with('#'));
    links
}

/// Returns the file or folder that a link of a page leads to.
fn file_of(page: &Path, link: &Link) -> PathBuf {
    let target = link.target.split('#').next().unwrap_or_default();
    page.parent()
        .expect("a page has a parent folder")
        .join(target)
}

/// Whether a source file defines an item of the given name.
fn defines(source: &str, name: &str) -> bool {
    [
        "fn", "struct", "enum", "trait", "type", "const", "static", "mod",
    ]
    .iter()
    .any(|keyword| {
        source
            .match_indices(&format!("{keyword} {name}"))
            .any(|(at, found)| {
                let next = source[at + found.len()..].chars().next();
                next.is_none_or(|next| !next.is_alphanumeric() && next != '_')
            })
    })
}

#[test]
fn every_link_of_the_documents_leads_to_a_file() {
    let mut missing = Vec::new();
    for page in pages() {
        for link in links(&read(&page)) {
            if !file_of(&page, &link).exists() {
                missing.push(format!("{}: {}", page.display(), link.target));
            }
        }
    }
    assert!(
        missing.is_empty(),
        "links whose target does not exist: {missing:#?}"
    );
}

#[test]
fn every_name_linked_to_a_source_file_is_defined_there() {
    let (mut checked, mut missing) = (0, Vec::new());
    for page in pages() {
        for link in links(&read(&page)) {
            let named = link
                .text
                .strip_prefix('`')
                .and_then(|text| text.strip_suffix('`'));
            let (Some(name), true) = (named, link.target.ends_with(".rs")) else {
                continue;
            };
            let source = read(&file_of(&page, &link));
            checked += 1;
            for part in name.trim_end_matches("()").split("::") {
                if !defines(&source, part) {
                    missing.push(format!(
                        "{}: {part} of {name} in {}",
                        page.display(),
                        link.target
                    ));
                }
            }
        }
    }
    assert!(
        missing.is_empty(),
        "names that the linked file does not define: {missing:#?}"
    );
    assert!(
        checked > 30,
        "the documents link {checked} names to source files, expected more than 30"
    );
}

#[test]
fn the_architecture_page_names_every_package() {
    let page = read(&root().join(ARCHITECTURE));
    let mut packages = vec!["examples/toy".to_owned()];
    for entry in fs::read_dir(root().join("crates")).expect("crates is readable") {
        let name = entry.expect("crates is readable").file_name();
        packages.push(format!("crates/{}", name.to_string_lossy()));
    }
    let missing: Vec<&String> = packages
        .iter()
        .filter(|package| !page.contains(&format!("](../{package})")))
        .collect();
    assert!(
        missing.is_empty(),
        "packages that {ARCHITECTURE} does not link: {missing:?}"
    );
}

#[test]
fn the_first_link_of_the_readme_leads_to_the_architecture_page() {
    let readme = read(&root().join("README.md"));
    let first = links(&readme)
        .into_iter()
        .next()
        .expect("README.md has a link");
    assert_eq!(first.target, ARCHITECTURE);
}
