use crate::render;
use anyhow::Context;
use serde::{Deserialize, Serialize};
use std::io::{BufRead, Write};
use tgw_clock::Millis;
use tgw_node::{Identity, Input, Node, Observer, Options, Output};

/// Version of the trace format.
const FORMAT_VERSION: u32 = 1;
/// Largest number of differences that a replay reports; further ones are not recorded.
const MAX_DIFFERENCES: usize = 20;

/// The first line of a trace.
#[derive(Serialize, Deserialize)]
struct Header {
    tanagergw_trace: u32,
    core: Identity,
}

/// One input with the outputs that it led to.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Step {
    /// Time since the core's process started, in microseconds.
    #[serde(rename = "t")]
    pub at_us: u64,
    /// The input.
    #[serde(rename = "in")]
    pub input: Input,
    /// The core's outputs as text.
    #[serde(rename = "out", default, skip_serializing_if = "Vec::is_empty")]
    pub outputs: Vec<String>,
}

/// Times of successive ticks that led to no output.
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
    /// Decodes a line, telling its kind by its first key. An untagged enum would decode through a buffer in which
    /// JSON keys that are not strings lose their type.
    fn decode(text: &str) -> serde_json::Result<Self> {
        if text.starts_with("{\"ticks\"") {
            serde_json::from_str(text).map(Self::Ticks)
        } else {
            serde_json::from_str(text).map(|step| Self::Step(Box::new(step)))
        }
    }
}

/// Writes a trace while a core runs. The first write error ends the trace.
pub struct Recorder<W: Write + Send> {
    writer: W,
    pending: Option<(u64, Input)>,
    ticks: Vec<u64>,
    failed: bool,
}

impl<W: Write + Send> Recorder<W> {
    /// Starts a trace of the core with this identity. Errors: the first line cannot be written.
    pub fn open(mut writer: W, core: &Identity) -> anyhow::Result<Self> {
        let header = Header { tanagergw_trace: FORMAT_VERSION, core: core.clone() };
        writeln!(writer, "{}", serde_json::to_string(&header)?)
            .context("cannot write the trace")?;
        Ok(Self { writer, pending: None, ticks: Vec::new(), failed: false })
    }

    fn write(&mut self, line: &Line) {
        if self.failed {
            return;
        }
        let text = serde_json::to_string(line).unwrap_or_default();
        self.failed = writeln!(self.writer, "{text}").and_then(|()| self.writer.flush()).is_err();
    }
}

impl<W: Write + Send> Observer for Recorder<W> {
    fn input(&mut self, now: Millis, input: &Input) {
        self.pending = Some((now.as_micros(), input.clone()));
    }

    fn outputs(&mut self, outputs: &[Output]) {
        let Some((at_us, input)) = self.pending.take() else { return };
        if matches!(input, Input::Tick) && outputs.is_empty() {
            self.ticks.push(at_us);
            return;
        }
        if !self.ticks.is_empty() {
            let ticks = std::mem::take(&mut self.ticks);
            self.write(&Line::Ticks(Ticks { ticks }));
        }
        let outputs = outputs.iter().map(render).collect();
        self.write(&Line::Step(Box::new(Step { at_us, input, outputs })));
    }
}

/// A line of a trace at which the replay's outputs differ from the recorded ones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// Line number in the trace.
    pub line: usize,
    /// Outputs in the trace that the replay did not produce.
    pub missing: Vec<String>,
    /// Outputs of the replay that are not in the trace.
    pub extra: Vec<String>,
}

/// Counts and differences of one replay.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Inputs fed to the core.
    pub inputs: u64,
    /// Outputs compared.
    pub outputs: u64,
    /// Outputs that are answers to callers.
    pub answers: u64,
    /// The first differences, at most 20.
    pub differences: Vec<Difference>,
}

/// Replays a trace on a new core. Errors: a line cannot be decoded, with its number.
pub fn replay(trace: impl BufRead) -> anyhow::Result<Outcome> {
    let mut lines = trace.lines().enumerate();
    let (_, first) = lines.next().context("the trace is empty")?;
    let header: Header =
        serde_json::from_str(&first?).context("line 1: not a trace of this program")?;
    anyhow::ensure!(
        header.tanagergw_trace == FORMAT_VERSION,
        "line 1: unsupported format version {}",
        header.tanagergw_trace
    );
    let mut node = Node::new(Options::production(&header.core));
    let mut outcome = Outcome::default();
    for (index, line) in lines {
        let line = line?;
        let number = index + 1;
        let decoded = Line::decode(&line).with_context(|| format!("line {number}"))?;
        match decoded {
            Line::Step(step) => feed(&mut node, number, *step, &mut outcome),
            Line::Ticks(Ticks { ticks }) => {
                for at_us in ticks {
                    let step = Step { at_us, input: Input::Tick, outputs: Vec::new() };
                    feed(&mut node, number, step, &mut outcome);
                }
            }
        }
    }
    Ok(outcome)
}

fn feed(node: &mut Node, line: usize, step: Step, outcome: &mut Outcome) {
    let mut produced = Vec::new();
    node.handle(Millis::from_micros(step.at_us), step.input, &mut produced);
    let got: Vec<String> = produced.iter().map(render).collect();
    outcome.inputs += 1;
    outcome.outputs += got.len() as u64;
    outcome.answers += produced.iter().filter(|o| matches!(o, Output::Answer(..))).count() as u64;
    if got == step.outputs || outcome.differences.len() >= MAX_DIFFERENCES {
        return;
    }
    let absent_from = |of: &[String], other: &[String]| -> Vec<String> {
        of.iter().filter(|line| !other.contains(line)).cloned().collect()
    };
    let (missing, extra) = (absent_from(&step.outputs, &got), absent_from(&got, &step.outputs));
    outcome.differences.push(Difference { line, missing, extra });
}
