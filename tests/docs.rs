//! Guards against pages that become wrong when files, headings or names in the code change: each
//! local link has a target, each path exists, and the code names of the architecture page and the
//! glossary occur in the source.
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Folders whose paths are checked wherever a page names them in code spans.
const CHECKED_ROOTS: [&str; 5] = ["src/", "tests/", "docs/", "deploy/", "scenarios/"];

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn files_below(folder: &Path, extension: &str) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder).expect("a folder of the project") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            files.extend(files_below(&path, extension));
        } else if path.extension().is_some_and(|e| e == extension) {
            files.push(path);
        }
    }
    files
}

/// Every page of the project.
fn pages() -> Vec<PathBuf> {
    let mut pages = files_below(&root().join("docs"), "md");
    pages.extend(files_below(&root().join("deploy"), "md"));
    pages.extend(["README.md", "CHANGELOG.md"].map(|name| root().join(name)));
    pages
}

fn read(path: &Path) -> String {
    std::fs::read_to_string(path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

/// The targets of a page's links: what stands between `](` and the next `)`.
fn link_targets(text: &str) -> Vec<&str> {
    let after_label = text.split("](").skip(1);
    after_label
        .filter_map(|rest| rest.split_once(')'))
        .map(|(target, _)| target)
        .collect()
}

/// The code spans of a page, outside of fenced blocks.
fn code_spans(text: &str) -> Vec<&str> {
    let outside_fences = text.split("```").step_by(2);
    outside_fences
        .flat_map(|part| part.split('`').skip(1).step_by(2))
        .collect()
}

/// The anchor that a heading gets: lower case, spaces as dashes, no other punctuation.
fn anchor(heading: &str) -> String {
    let kept = heading
        .trim()
        .chars()
        .filter(|c| c.is_alphanumeric() || " -_".contains(*c));
    kept.map(|c| {
        if c == ' ' {
            '-'
        } else {
            c.to_ascii_lowercase()
        }
    })
    .collect()
}

fn has_anchor(page: &Path, wanted: &str) -> bool {
    let text = read(page);
    let headings = text.lines().filter(|line| line.starts_with('#'));
    headings
        .map(|line| anchor(line.trim_start_matches('#')))
        .any(|anchor| anchor == wanted)
}

#[test]
fn every_local_link_of_a_page_leads_to_a_file_and_heading() {
    let mut broken = Vec::new();
    for page in pages() {
        let text = read(&page);
        for target in link_targets(&text) {
            if target.starts_with("http") || target.contains(' ') {
                continue;
            }
            let (file, heading) = target.split_once('#').unwrap_or((target, ""));
            let folder = page.parent().expect("a page's folder");
            let path = if file.is_empty() {
                page.clone()
            } else {
                folder.join(file)
            };
            let found = path.exists() && (heading.is_empty() || has_anchor(&path, heading));
            if !found {
                broken.push(format!("{}: {target}", page.display()));
            }
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// The changelog names paths of earlier versions, so it is not checked.
#[test]
fn every_path_that_a_page_names_exists() {
    let mut missing = Vec::new();
    for page in pages()
        .into_iter()
        .filter(|page| !page.ends_with("CHANGELOG.md"))
    {
        let text = read(&page);
        for span in code_spans(&text) {
            let is_path = CHECKED_ROOTS.iter().any(|root| span.starts_with(root));
            let is_plain = !span.contains(|c: char| c.is_whitespace() || "*{<".contains(c));
            if is_path && is_plain && !root().join(span).exists() {
                missing.push(format!("{}: {span}", page.display()));
            }
        }
    }
    assert!(missing.is_empty(), "{}", missing.join("\n"));
}

/// The segments of all paths with `::` in the code spans of a page.
fn code_names(text: &str) -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for span in code_spans(text) {
        let path = span.split(['(', '{', '<', ' ']).next().unwrap_or("");
        let is_code = path.contains("::")
            && path
                .chars()
                .all(|c| c.is_alphanumeric() || "_:".contains(c));
        if is_code {
            names.extend(path.split("::").map(str::to_owned));
        }
    }
    names
}

#[test]
fn code_names_of_the_architecture_page_and_the_glossary_occur_in_the_source() {
    let source: String = files_below(&root().join("src"), "rs")
        .iter()
        .map(|path| read(path))
        .collect();
    let is_word_part = |c: char| c.is_alphanumeric() || c == '_';
    let words: BTreeSet<&str> = source.split(|c| !is_word_part(c)).collect();
    let file_names: BTreeSet<String> = files_below(&root().join("src"), "rs")
        .iter()
        .flat_map(|path| [path.file_stem(), path.parent().and_then(Path::file_name)])
        .flatten()
        .map(|name| name.to_string_lossy().into_owned())
        .collect();
    let mut unknown = Vec::new();
    for page in ["docs/ARCHITECTURE.md", "docs/GLOSSARY.md"] {
        for name in code_names(&read(&root().join(page))) {
            if !words.contains(name.as_str()) && !file_names.contains(&name) {
                unknown.push(format!("{page}: {name}"));
            }
        }
    }
    assert!(unknown.is_empty(), "{}", unknown.join("\n"));
}
