//! Guards against guarantees in `docs/PROMISES.md` whose tests were renamed or removed.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Adds all Rust files under `folder` that lie in a folder `tests` to `found`.
fn find_test_files(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() && path.file_name().is_some_and(|name| name != "target") {
            find_test_files(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs")
            && path.components().any(|part| part.as_os_str() == "tests")
        {
            found.push(path);
        }
    }
}

/// Returns the names of tests, which are the words between backticks in the third column.
fn named_tests(page: &str) -> BTreeSet<String> {
    let rows = page.lines().filter(|line| line.starts_with("| ") && !line.starts_with("| ---"));
    let cells = rows.filter_map(|row| row.split(" | ").nth(2));
    let names = cells.flat_map(|cell| cell.split('`').skip(1).step_by(2));
    names.map(str::to_owned).collect()
}

#[test]
fn every_test_named_on_the_page_exists() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = std::fs::read_to_string(root.join("docs/PROMISES.md")).unwrap();
    let mut files = Vec::new();
    for folder in ["crates", "platform"] {
        find_test_files(&root.join(folder), &mut files);
    }
    let text: Vec<String> = files.iter().map(|f| std::fs::read_to_string(f).unwrap()).collect();
    let exists = |name: &String| {
        let (function, case) = (format!("fn {name}("), format!(" {name}:"));
        text.iter().any(|text| text.contains(&function) || text.contains(&case))
    };
    let names = named_tests(&page);
    assert!(names.len() > 30, "the page names only {} tests", names.len());
    let missing: Vec<&String> = names.iter().filter(|name| !exists(name)).collect();
    assert!(missing.is_empty(), "not found: {missing:?}");
}
