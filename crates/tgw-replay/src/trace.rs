use crate::render;
use anyhow::Context;
use serde::{Deserialize, Serialize};
use std::io::{BufRead, Write};
use tgw_clock::Millis;
use tgw_node::{Identity, Input, Node, Options, Output, Tap};

/// The version of the format.
const FORMAT: u32 = 1;
/// Differences that are kept of one replay.
const KEPT: usize = 20;

/// The first line.
#[derive(Serialize, Deserialize)]
struct Head {
    tanagergw_trace: u32,
    core: Identity,
}

/// One further line.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Step {
    /// Milliseconds since the core's process started, in thousandths.
    pub t: u64,
    /// What the core was told.
    #[serde(rename = "in")]
    pub input: Input,
    /// What it did.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub out: Vec<String>,
}

/// Times at which a core was told that time has passed and had nothing to do.
#[derive(Serialize, Deserialize)]
struct Ticks {
    ticks: Vec<u64>,
}

#[derive(Serialize)]
#[serde(untagged)]
enum Line {
    Step(Box<Step>),
    Ticks(Ticks),
}

impl Line {
    /// Reads a line by its first key: an untagged read would lose what JSON keys stand for.
    fn read(text: &str) -> serde_json::Result<Self> {
        if text.starts_with("{\"ticks\"") {
            serde_json::from_str(text).map(Self::Ticks)
        } else {
            serde_json::from_str(text).map(|step| Self::Step(Box::new(step)))
        }
    }
}

/// Writes a trace as a core works. Errors while writing end the trace and are reported once.
pub struct Recorder<W: Write + Send> {
    out: W,
    pending: Option<(u64, Input)>,
    ticks: Vec<u64>,
    failed: bool,
}

impl<W: Write + Send> Recorder<W> {
    /// A trace of a core of this identity. Errors: the first line cannot be written.
    pub fn open(mut out: W, core: &Identity) -> anyhow::Result<Self> {
        let head = Head { tanagergw_trace: FORMAT, core: core.clone() };
        writeln!(out, "{}", serde_json::to_string(&head)?).context("cannot write the trace")?;
        Ok(Self { out, pending: None, ticks: Vec::new(), failed: false })
    }

    fn write(&mut self, line: &Line) {
        if self.failed {
            return;
        }
        let text = serde_json::to_string(line).unwrap_or_default();
        self.failed = writeln!(self.out, "{text}").and_then(|()| self.out.flush()).is_err();
    }
}

impl<W: Write + Send> Tap for Recorder<W> {
    fn input(&mut self, now: Millis, input: &Input) {
        self.pending = Some((now.as_micros(), input.clone()));
    }

    fn outputs(&mut self, outputs: &[Output]) {
        let Some((t, input)) = self.pending.take() else { return };
        if matches!(input, Input::Tick) && outputs.is_empty() {
            self.ticks.push(t);
            return;
        }
        if !self.ticks.is_empty() {
            let ticks = std::mem::take(&mut self.ticks);
            self.write(&Line::Ticks(Ticks { ticks }));
        }
        let out = outputs.iter().map(render).collect();
        self.write(&Line::Step(Box::new(Step { t, input, out })));
    }
}

/// Where a replay differs from its trace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// The line of the trace.
    pub line: usize,
    /// What the trace states and the core did not do.
    pub missing: Vec<String>,
    /// What the core did and the trace does not state.
    pub extra: Vec<String>,
}

/// What a replay found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Inputs that were fed.
    pub inputs: u64,
    /// Outputs that were compared.
    pub outputs: u64,
    /// Answers to callers among them.
    pub answers: u64,
    /// The first differences.
    pub differences: Vec<Difference>,
}

/// Feeds a trace to a fresh core. Errors: a line cannot be read, with its number.
pub fn replay(trace: impl BufRead) -> anyhow::Result<Outcome> {
    let mut lines = trace.lines().enumerate();
    let (_, first) = lines.next().context("the trace is empty")?;
    let head: Head =
        serde_json::from_str(&first?).context("line 1: not a trace of this program")?;
    anyhow::ensure!(head.tanagergw_trace == FORMAT, "line 1: format {}", head.tanagergw_trace);
    let mut node = Node::new(Options::shipped(&head.core));
    let mut outcome = Outcome::default();
    for (index, line) in lines {
        let line = line?;
        let number = index + 1;
        let read = Line::read(&line).with_context(|| format!("line {number}"))?;
        match read {
            Line::Step(step) => feed(&mut node, number, *step, &mut outcome),
            Line::Ticks(Ticks { ticks }) => {
                for t in ticks {
                    let step = Step { t, input: Input::Tick, out: Vec::new() };
                    feed(&mut node, number, step, &mut outcome);
                }
            }
        }
    }
    Ok(outcome)
}

fn feed(node: &mut Node, line: usize, step: Step, outcome: &mut Outcome) {
    let mut out = Vec::new();
    node.on(Millis::from_micros(step.t), step.input, &mut out);
    let got: Vec<String> = out.iter().map(render).collect();
    outcome.inputs += 1;
    outcome.outputs += got.len() as u64;
    outcome.answers += out.iter().filter(|o| matches!(o, Output::Answer(..))).count() as u64;
    if got == step.out || outcome.differences.len() >= KEPT {
        return;
    }
    let lacks = |of: &[String], other: &[String]| -> Vec<String> {
        of.iter().filter(|line| !other.contains(line)).cloned().collect()
    };
    let (missing, extra) = (lacks(&step.out, &got), lacks(&got, &step.out));
    outcome.differences.push(Difference { line, missing, extra });
}
