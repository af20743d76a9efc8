use crate::{
    Finding, Key, Listen, Log, Network, Peer, Platform, Secret, Settings, Vm, finding::Kind,
};
use ini::Ini;
use std::{collections::BTreeSet, fs, net::SocketAddr};

/// The known sections and their keys.
const KNOWN_KEYS: [(&str, &[&str]); 6] = [
    ("vm", &["name", "region", "domain", "drain_grace_ms"]),
    ("listen", &["callers", "operators", "peers", "body_limit", "read_timeout_ms", "concurrency"]),
    ("platform", &["addr", "timeout_ms"]),
    ("peer", &["seeds", "key", "old_key", "admin_token"]),
    ("network", &["local_us", "domains_us", "regions_us"]),
    ("log", &["format", "filter", "sample"]),
];

/// Reads and parses the file at `path`. Returns all findings if there are any.
pub fn load(path: &str) -> Result<Settings, Vec<Finding>> {
    match fs::read_to_string(path) {
        Ok(text) => parse(path, &text),
        Err(e) => Err(vec![Finding {
            file: path.into(),
            line: 0,
            section: String::new(),
            key: String::new(),
            kind: Kind::Unreadable(e.to_string()),
        }]),
    }
}

/// Parses settings from `text`; findings name `file` as their file.
pub fn parse(file: &str, text: &str) -> Result<Settings, Vec<Finding>> {
    let mut reader = Reader { file, text, ini: Ini::new(), findings: Vec::new() };
    match Ini::load_from_str(text) {
        Ok(ini) => reader.ini = ini,
        Err(e) => {
            reader.report(e.line, "", "", Kind::Syntax(e.msg.to_string()));
            return Err(reader.findings);
        }
    }
    reader.check_keys();
    let settings = reader.read_settings();
    match settings {
        Some(settings) if reader.findings.is_empty() => Ok(settings),
        _ => Err(reader.findings),
    }
}

/// Reads the values one by one and collects the findings.
struct Reader<'a> {
    file: &'a str,
    text: &'a str,
    ini: Ini,
    findings: Vec<Finding>,
}

impl Reader<'_> {
    fn report(&mut self, line: usize, section: &str, key: &str, kind: Kind) {
        self.findings.push(Finding {
            file: self.file.into(),
            line,
            section: section.into(),
            key: key.into(),
            kind,
        });
    }

    /// The line of a key, the line of its section if the key is missing, or zero.
    fn line_of(&self, section: &str, key: &str) -> usize {
        let mut current = "";
        let mut section_line = 0;
        for (index, line) in self.text.lines().enumerate() {
            let line = line.trim();
            if let Some(name) = line.strip_prefix('[').and_then(|l| l.strip_suffix(']')) {
                current = name.trim();
                if current == section && section_line == 0 {
                    section_line = index + 1;
                }
            } else if current == section && line.split('=').next().map(str::trim) == Some(key) {
                return index + 1;
            }
        }
        section_line
    }

    fn check_keys(&mut self) {
        let ini = self.ini.clone();
        for (section, properties) in &ini {
            let name = section.unwrap_or_default();
            let Some((_, keys)) = KNOWN_KEYS.iter().find(|(known, _)| *known == name) else {
                if section.is_some() || !properties.is_empty() {
                    self.report(self.line_of(name, ""), name, "", Kind::UnknownSection);
                }
                continue;
            };
            let mut seen = BTreeSet::new();
            for (key, _) in properties {
                let line = self.line_of(name, key);
                if !keys.contains(&key) {
                    self.report(line, name, key, Kind::UnknownKey);
                }
                if !seen.insert(key) {
                    self.report(line, name, key, Kind::Twice);
                }
            }
        }
    }

    fn value(&self, section: &str, key: &str) -> Option<String> {
        self.ini.get_from(Some(section), key).map(|v| v.trim().to_owned()).filter(|v| !v.is_empty())
    }

    fn required(&mut self, section: &str, key: &str, expected: &'static str) -> Option<String> {
        let value = self.value(section, key);
        if value.is_none() {
            self.report(self.line_of(section, key), section, key, Kind::Missing(expected));
        }
        value
    }

    fn number(&mut self, section: &str, key: &str, default: Option<u64>, high: u64) -> Option<u64> {
        let Some(text) = self.value(section, key) else {
            if default.is_none() {
                self.report(self.line_of(section, key), section, key, Kind::Missing("a number"));
            }
            return default;
        };
        match text.parse() {
            Ok(found) if found <= high => Some(found),
            Ok(found) => {
                let line = self.line_of(section, key);
                self.report(line, section, key, Kind::Range { found, low: 0, high });
                None
            }
            Err(_) => {
                self.report(self.line_of(section, key), section, key, Kind::Malformed("a number"));
                None
            }
        }
    }

    fn parse_addr(&mut self, section: &str, key: &str, text: &str) -> Option<SocketAddr> {
        let addr = text.parse().ok();
        if addr.is_none() {
            let kind = Kind::Malformed("an address such as 127.0.0.1:8080");
            self.report(self.line_of(section, key), section, key, kind);
        }
        addr
    }

    fn required_addr(&mut self, section: &str, key: &str) -> Option<SocketAddr> {
        let text = self.required(section, key, "an address such as 127.0.0.1:8080")?;
        self.parse_addr(section, key, &text)
    }

    fn parse_key(&mut self, section: &str, key: &str, text: &str) -> Option<Key> {
        let mut bytes = [0; 32];
        let valid = text.len() == 64 && text.is_ascii();
        let parsed = valid.then(|| {
            for (index, byte) in bytes.iter_mut().enumerate() {
                *byte = u8::from_str_radix(&text[index * 2..index * 2 + 2], 16).ok()?;
            }
            Some(Key(bytes))
        });
        let parsed = parsed.flatten();
        if parsed.is_none() {
            let kind = Kind::Malformed("64 hexadecimal digits");
            self.report(self.line_of(section, key), section, key, kind);
        }
        parsed
    }

    fn read_settings(&mut self) -> Option<Settings> {
        let vm = self.read_vm();
        let listen = self.read_listen();
        let platform = self.read_platform();
        let peer = self.read_peer();
        let network = self.read_network();
        let log = self.read_log();
        Some(Settings {
            vm: vm?,
            listen: listen?,
            platform: platform?,
            peer: peer?,
            network: network?,
            log: log?,
        })
    }

    fn read_vm(&mut self) -> Option<Vm> {
        let name = self.required("vm", "name", "a name unique in the fleet");
        let region = self.number("vm", "region", None, 255);
        let domain = self.number("vm", "domain", None, 255);
        let grace = self.number("vm", "drain_grace_ms", Some(2000), 600_000);
        Some(Vm {
            name: name?,
            region: region? as u8,
            domain: domain? as u8,
            drain_grace_ms: grace?,
        })
    }

    fn read_listen(&mut self) -> Option<Listen> {
        let callers = self.required_addr("listen", "callers");
        let operators = self.required_addr("listen", "operators");
        let peers = self.required_addr("listen", "peers");
        let body = self.number("listen", "body_limit", Some(65_536), 16 << 20);
        let read = self.number("listen", "read_timeout_ms", Some(5000), 600_000);
        let concurrency = self.number("listen", "concurrency", Some(1024), 1_000_000);
        Some(Listen {
            callers: callers?,
            operators: operators?,
            peers: peers?,
            body_limit: body?,
            read_timeout_ms: read?,
            concurrency: concurrency?,
        })
    }

    fn read_platform(&mut self) -> Option<Platform> {
        let addr = self.required_addr("platform", "addr");
        let timeout = self.number("platform", "timeout_ms", Some(1000), 60_000);
        Some(Platform { addr: addr?, timeout_ms: timeout? })
    }

    fn read_peer(&mut self) -> Option<Peer> {
        let seeds_text = self.value("peer", "seeds").unwrap_or_default();
        let seeds: Vec<_> = seeds_text
            .split(',')
            .map(str::trim)
            .filter(|s| !s.is_empty())
            .map(|s| self.parse_addr("peer", "seeds", s))
            .collect();
        let key_text = self.required("peer", "key", "64 hexadecimal digits");
        let key = key_text.and_then(|t| self.parse_key("peer", "key", &t));
        let old_key = match self.value("peer", "old_key") {
            Some(text) => Some(self.parse_key("peer", "old_key", &text)?),
            None => None,
        };
        let token = self.required("peer", "admin_token", "a token of at least 8 characters");
        if token.as_ref().is_some_and(|t| t.len() < 8) {
            let kind = Kind::Malformed("a token of at least 8 characters");
            self.report(self.line_of("peer", "admin_token"), "peer", "admin_token", kind);
        }
        Some(Peer {
            seeds: seeds.into_iter().collect::<Option<_>>()?,
            key: key?,
            old_key,
            admin_token: Secret(token?),
        })
    }

    fn read_network(&mut self) -> Option<Network> {
        let local = self.number("network", "local_us", Some(100), 10_000_000);
        let domains = self.number("network", "domains_us", Some(1500), 10_000_000);
        let regions = self.number("network", "regions_us", Some(12_000), 10_000_000);
        Some(Network { local_us: local?, domains_us: domains?, regions_us: regions? })
    }

    fn read_log(&mut self) -> Option<Log> {
        let format = self.value("log", "format").unwrap_or_else(|| "text".into());
        if !matches!(format.as_str(), "text" | "json") {
            self.report(
                self.line_of("log", "format"),
                "log",
                "format",
                Kind::Malformed("text or json"),
            );
        }
        let filter = self.value("log", "filter").unwrap_or_else(|| "info".into());
        let sample = self.number("log", "sample", Some(1), 1_000_000)?;
        Some(Log { json: format == "json", filter, sample: sample.max(1) })
    }
}
