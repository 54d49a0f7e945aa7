//! Reads the fields of a YAML document and collects all errors in it.
//!
//! A deserializer stops at the first error. This module parses the document into a
//! tree of nodes with line numbers, from which each field is taken by name and
//! type, so that all errors are reported at once.

use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde::de::{Deserialize, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_saphyr::Spanned;

use sesamehaven::id::{DaemonName, DataCentreName};
use sesamehaven::unit::{Bytes, Millis};

/// An error in settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// The line, starting at one.
    pub line: u64,
    /// The path of the field, such as `limits.body`.
    pub field: String,
    /// What is wrong, and what to write instead.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: ", self.line)?;
        if !self.field.is_empty() {
            write!(f, "`{}`: ", self.field)?;
        }
        f.write_str(&self.message)
    }
}

/// A type of setting values.
pub trait Value: Sized {
    /// Parses a value.
    ///
    /// # Errors
    ///
    /// Returns a message with what is wrong and what to write instead.
    fn parse(text: &str) -> Result<Self, String>;
}

macro_rules! values {
    ($($name:ty),*) => {$(
        impl Value for $name {
            fn parse(text: &str) -> Result<Self, String> {
                text.parse().map_err(|err: sesamehaven::Error| err.to_string())
            }
        }
    )*};
}

values!(DaemonName, DataCentreName, Bytes, Millis);

macro_rules! numbers {
    ($($name:ty),*) => {$(
        impl Value for $name {
            fn parse(text: &str) -> Result<Self, String> {
                let message = |_| format!("`{text}` is not valid: use a whole number, at most {}", <$name>::MAX);
                text.parse().map_err(message)
            }
        }
    )*};
}

numbers!(u32, usize);

impl Value for SocketAddr {
    fn parse(text: &str) -> Result<Self, String> {
        let message = |_| {
            format!("`{text}` is not valid: use an IP address and a port, such as `127.0.0.1:8080`")
        };
        text.parse().map_err(message)
    }
}

impl Value for PathBuf {
    fn parse(text: &str) -> Result<Self, String> {
        if text.is_empty() {
            return Err("the path is empty: name a file, or leave the field out".into());
        }
        Ok(text.into())
    }
}

/// A node of the document.
#[derive(Debug)]
enum Node {
    /// A scalar. [`None`] stands for a value that is not a string, whose text is
    /// taken from the source.
    Scalar(Option<String>),
    List(Vec<Spanned<Node>>),
    Section(Vec<(Spanned<String>, Spanned<Node>)>),
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(NodeVisitor)
    }
}

struct NodeVisitor;

impl<'de> Visitor<'de> for NodeVisitor {
    type Value = Node;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a value, a list or a section")
    }

    fn visit_str<E>(self, text: &str) -> Result<Node, E> {
        Ok(Node::Scalar(Some(text.into())))
    }

    fn visit_bool<E>(self, _: bool) -> Result<Node, E> {
        Ok(Node::Scalar(None))
    }

    fn visit_u64<E>(self, _: u64) -> Result<Node, E> {
        Ok(Node::Scalar(None))
    }

    fn visit_i64<E>(self, _: i64) -> Result<Node, E> {
        Ok(Node::Scalar(None))
    }

    fn visit_u128<E>(self, _: u128) -> Result<Node, E> {
        Ok(Node::Scalar(None))
    }

    fn visit_i128<E>(self, _: i128) -> Result<Node, E> {
        Ok(Node::Scalar(None))
    }

    fn visit_f64<E>(self, _: f64) -> Result<Node, E> {
        Ok(Node::Scalar(None))
    }

    fn visit_unit<E>(self) -> Result<Node, E> {
        Ok(Node::Scalar(None))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Node, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = seq.next_element()? {
            items.push(item);
        }
        Ok(Node::List(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Node, A::Error> {
        let mut entries = Vec::new();
        while let Some(entry) = map.next_entry()? {
            entries.push(entry);
        }
        Ok(Node::Section(entries))
    }
}

/// Reads settings from a YAML document.
///
/// `build` takes the known fields; all others are reported as errors. It returns
/// [`None`] if a required field is missing.
///
/// # Errors
///
/// Returns all errors, ordered by line.
pub fn read<T>(
    text: &str,
    build: impl FnOnce(&mut Fields<'_>) -> Option<T>,
) -> Result<T, Vec<Problem>> {
    let root = match parse(text) {
        Ok(root) => root,
        Err(problem) => return Err(vec![problem]),
    };
    let problems = RefCell::default();
    let value = {
        let mut fields = Fields::new(text, &problems, String::new(), 1, root);
        build(&mut fields)
    };
    let mut problems: Vec<Problem> = problems.into_inner();
    problems.sort_by_key(|p| p.line);
    match value {
        Some(value) if problems.is_empty() => Ok(value),
        _ => Err(problems),
    }
}

fn parse(text: &str) -> Result<Node, Problem> {
    // The first parse detects an empty document, which is a section without fields.
    let is_empty = serde_saphyr::from_str::<Option<IgnoredAny>>(text).is_ok_and(|v| v.is_none());
    if is_empty {
        return Ok(Node::Section(Vec::new()));
    }
    serde_saphyr::from_str(text).map_err(|err| Problem {
        line: err.location().map_or(1, |place| place.line()),
        field: String::new(),
        message: format!(
            "not valid YAML: {}",
            first_line(&err.without_snippet().to_string())
        ),
    })
}

fn first_line(text: &str) -> &str {
    text.lines().next().unwrap_or_default()
}

/// The fields of a section, which are taken one by one.
pub struct Fields<'a> {
    text: &'a str,
    problems: &'a RefCell<Vec<Problem>>,
    path: String,
    line: u64,
    entries: Vec<(Spanned<String>, Spanned<Node>)>,
    known: Vec<&'static str>,
    lines: Vec<(&'static str, u64)>,
}

impl<'a> Fields<'a> {
    fn new(
        text: &'a str,
        problems: &'a RefCell<Vec<Problem>>,
        path: String,
        line: u64,
        node: Node,
    ) -> Self {
        let mut fields = Fields {
            text,
            problems,
            path,
            line,
            entries: Vec::new(),
            known: Vec::new(),
            lines: Vec::new(),
        };
        match node {
            Node::Section(entries) => fields.entries = entries,
            _ => fields.report(
                line,
                "",
                "write the fields of this section below it, each as `name: value`",
            ),
        }
        fields
    }

    /// Takes a required field.
    pub fn required<T: Value>(&mut self, name: &'static str) -> Option<T> {
        let Some(value) = self.take(name) else {
            self.report(self.line, name, "missing: this field has no default");
            return None;
        };
        self.scalar(name, value)
    }

    /// Takes an optional field.
    pub fn optional<T: Value>(&mut self, name: &'static str) -> Option<T> {
        let value = self.take(name)?;
        self.scalar(name, value)
    }

    /// Takes a list, which is empty if the field is absent.
    pub fn list<T: Value>(&mut self, name: &'static str) -> Vec<T> {
        let Some(value) = self.take(name) else {
            return Vec::new();
        };
        let Node::List(items) = value.value else {
            let line = value.referenced.line();
            self.report(line, name, "write a list, such as `[first, second]`");
            return Vec::new();
        };
        let items = items.into_iter();
        items.filter_map(|item| self.scalar(name, item)).collect()
    }

    /// Takes a section, which has no fields if it is absent.
    pub fn section<T>(
        &mut self,
        name: &'static str,
        build: impl FnOnce(&mut Fields<'_>) -> T,
    ) -> T {
        let (line, node) = match self.take(name) {
            Some(value) => (value.referenced.line(), value.value),
            None => (self.line, Node::Section(Vec::new())),
        };
        let path = self.path_of(name);
        build(&mut Fields::new(self.text, self.problems, path, line, node))
    }

    /// Reports an error in a field that was taken, unless `holds`.
    pub fn check(&self, name: &'static str, holds: bool, message: impl Into<String>) {
        if holds {
            return;
        }
        let found = self.lines.iter().find(|(known, _)| *known == name);
        let line = found.map_or(self.line, |(_, line)| *line);
        self.report(line, name, message);
    }

    fn take(&mut self, name: &'static str) -> Option<Spanned<Node>> {
        self.known.push(name);
        let at = self.entries.iter().position(|(key, _)| key.value == name)?;
        let (key, value) = self.entries.remove(at);
        self.lines.push((name, key.referenced.line()));
        Some(value)
    }

    fn scalar<T: Value>(&self, name: &str, node: Spanned<Node>) -> Option<T> {
        let place = node.referenced;
        let Node::Scalar(text) = &node.value else {
            self.report(place.line(), name, "write a single value");
            return None;
        };
        let text = text.as_deref().unwrap_or_else(|| self.source(place));
        match T::parse(text) {
            Ok(value) => Some(value),
            Err(message) => {
                self.report(place.line(), name, message);
                None
            }
        }
    }

    /// Returns the text of a scalar from the source.
    fn source(&self, place: serde_saphyr::Location) -> &'a str {
        let span = place.span();
        let start = span.byte_offset().unwrap_or_default();
        let end = start + span.byte_len().unwrap_or_default();
        let range =
            usize::try_from(start).unwrap_or_default()..usize::try_from(end).unwrap_or_default();
        self.text.get(range).unwrap_or_default().trim()
    }

    fn report(&self, line: u64, name: &str, message: impl Into<String>) {
        self.problems.borrow_mut().push(Problem {
            line,
            field: self.path_of(name),
            message: message.into(),
        });
    }

    fn path_of(&self, name: &str) -> String {
        match (self.path.as_str(), name) {
            ("", name) => name.into(),
            (path, "") => path.into(),
            (path, name) => format!("{path}.{name}"),
        }
    }
}

impl Drop for Fields<'_> {
    /// Reports the unknown fields.
    fn drop(&mut self) {
        let known = self.known.join(", ");
        for (key, _) in std::mem::take(&mut self.entries) {
            let message = format!("unknown field: use one of {known}");
            self.report(key.referenced.line(), &key.value, message);
        }
    }
}
