//! Parsed lines of VMs' log files.

use serde_json::{Map, Value};
use std::{
    fmt::Write,
    fs::File,
    io::{self, BufRead, BufReader},
    path::Path,
};

/// Fields that a rendered line does not list as `name=value`: the timestamp and the message begin the
/// line without their names, and the others are left out.
const OMITTED_FIELDS: [&str; 5] = ["timestamp", "level", "message", "target", "request"];

/// One parsed line of a log.
#[derive(Clone, Debug)]
pub(crate) struct Line {
    pub(crate) vm: String,
    fields: Map<String, Value>,
}

impl Line {
    pub(crate) fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }

    pub(crate) fn number(&self, name: &str) -> u64 {
        self.fields.get(name).and_then(Value::as_u64).unwrap_or_default()
    }

    /// The number of a field, if the line has it.
    pub(crate) fn optional_number(&self, name: &str) -> Option<u64> {
        self.fields.get(name).and_then(Value::as_u64)
    }

    pub(crate) fn flag(&self, name: &str) -> bool {
        self.fields.get(name).and_then(Value::as_bool).unwrap_or_default()
    }

    /// Whether `word` is one of the space-separated words of a field.
    pub(crate) fn has_word(&self, name: &str, word: &str) -> bool {
        self.text(name).split(' ').any(|w| w == word)
    }

    pub(crate) fn message(&self) -> &str {
        self.text("message")
    }

    pub(crate) fn timestamp(&self) -> &str {
        self.text("timestamp")
    }

    pub(crate) fn render(&self) -> String {
        let mut out = format!("{} {:<22} {}", self.timestamp(), self.vm, self.message());
        for (name, value) in &self.fields {
            if OMITTED_FIELDS.contains(&name.as_str()) {
                continue;
            }
            let _ = match value.as_str() {
                Some(text) => write!(out, " {name}={text}"),
                None => write!(out, " {name}={value}"),
            };
        }
        out
    }
}

/// Reads the logs of VMs, sorted by timestamp. Text before a line's JSON object is skipped, and so are
/// lines without one. Errors: a file cannot be read.
pub(crate) fn read(files: &[impl AsRef<Path>]) -> io::Result<Vec<Line>> {
    let mut lines = Vec::new();
    for file in files {
        read_file(file.as_ref(), &mut lines)?;
    }
    lines.sort_by(|a, b| a.timestamp().cmp(b.timestamp()));
    Ok(lines)
}

fn read_file(path: &Path, lines: &mut Vec<Line>) -> io::Result<()> {
    let stem = path.file_stem().map(|s| s.to_string_lossy().into_owned()).unwrap_or_default();
    let mut vm = stem;
    for text in BufReader::new(File::open(path)?).lines() {
        let text = text?;
        let Some(start) = text.find('{') else { continue };
        let Ok(Value::Object(fields)) = serde_json::from_str(&text[start..]) else { continue };
        // Log collectors prefix each line with the VM's name; a VM's own log file has it in a `vm` field at
        // the start, which holds for the lines that follow.
        if let Some(name) = text[..start].split_whitespace().last() {
            name.clone_into(&mut vm);
        } else if let Some(name) = fields.get("vm").and_then(Value::as_str) {
            name.clone_into(&mut vm);
        }
        lines.push(Line { vm: vm.clone(), fields });
    }
    Ok(())
}

/// Seconds since midnight of an RFC 3339 time.
pub(crate) fn seconds_of_day(time: &str) -> Option<f64> {
    let (_, clock) = time.trim_end_matches('Z').split_once('T')?;
    clock.split(':').try_fold(0.0, |sum, part| Some(sum * 60.0 + part.parse::<f64>().ok()?))
}
