//! Compares two configurations, object by object, for people to read.
//!
//! Objects are matched by name, so their order does not count. The order of a
//! list inside an object does, as the first class of a contract is the one
//! that serves requests without a class.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;
use serde_json::{Map, Value};
use smol_str::SmolStr;

use crate::config::Configuration;

/// The lists of a configuration, in the order in which changes are shown.
const LISTS: [&str; 8] = [
    "data_centres",
    "entries",
    "agents",
    "pools",
    "endpoints",
    "classes",
    "contracts",
    "organisations",
];

/// What happens to one object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Change {
    /// The list that the object is in.
    pub list: &'static str,
    /// The object's name.
    pub name: SmolStr,
    /// What happens to it.
    pub kind: Kind,
    /// The fields that are concerned.
    pub fields: Vec<Field>,
}

/// What kind of change it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The object is new.
    Added,
    /// Fields of the object change.
    Changed,
    /// The object goes away.
    Removed,
}

/// A field before and after a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Field {
    /// The path within the object, such as `limits.concurrency`.
    pub path: String,
    /// The value before; [`None`] when the field was absent.
    pub from: Option<String>,
    /// The value after; [`None`] when the field will be absent.
    pub to: Option<String>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.kind {
            Kind::Added => '+',
            Kind::Changed => '~',
            Kind::Removed => '-',
        };
        write!(f, "{sign} {}", self.name)?;
        self.fields.iter().try_for_each(|field| match self.kind {
            Kind::Added => write!(f, "\n    {}: {}", field.path, shown(&field.to)),
            Kind::Removed => Ok(()),
            Kind::Changed => write!(f, "\n    {field}"),
        })
    }
}

impl fmt::Display for Field {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (from, to) = (shown(&self.from), shown(&self.to));
        write!(f, "{}: {from} -> {to}", self.path)
    }
}

fn shown(value: &Option<String>) -> &str {
    value.as_deref().unwrap_or("(none)")
}

/// Lists what has to change for `before` to become `after`.
///
/// # Example
///
/// ```
/// use sesamehaven::config::Configuration;
/// use sesamehaven::plan::{Kind, plan};
///
/// let before = Configuration::default();
/// let mut after = before.clone();
/// after.data_centres.push("aarhus".parse()?);
/// let changes = plan(&before, &after);
/// assert_eq!(changes[0].kind, Kind::Added);
/// assert_eq!(changes[0].to_string(), "+ aarhus");
/// # Ok::<(), sesamehaven::Error>(())
/// ```
pub fn plan(before: &Configuration, after: &Configuration) -> Vec<Change> {
    let (before, after) = (lists_of(before), lists_of(after));
    let mut changes = Vec::new();
    for list in LISTS {
        let (before, after) = (objects(&before, list), objects(&after, list));
        let names: Vec<_> = before.keys().chain(after.keys()).collect();
        let mut names = names;
        names.sort();
        names.dedup();
        let found = names.into_iter().filter_map(|name| {
            compare(
                list,
                name,
                before.get(name).copied(),
                after.get(name).copied(),
            )
        });
        changes.extend(found);
    }
    changes
}

/// Writes changes as text for people, grouped by list.
pub fn format_changes(changes: &[Change]) -> String {
    let mut text = String::new();
    for list in LISTS {
        let of_list: Vec<_> = changes.iter().filter(|c| c.list == list).collect();
        if of_list.is_empty() {
            continue;
        }
        text.push_str(&format!("{list}\n"));
        for change in of_list {
            let indented = change.to_string().replace('\n', "\n  ");
            text.push_str(&format!("  {indented}\n"));
        }
    }
    let count = |kind| changes.iter().filter(|c| c.kind == kind).count();
    text + &format!(
        "{} added, {} changed, {} removed\n",
        count(Kind::Added),
        count(Kind::Changed),
        count(Kind::Removed)
    )
}

fn lists_of(configuration: &Configuration) -> Map<String, Value> {
    match serde_json::to_value(configuration) {
        Ok(Value::Object(lists)) => lists,
        _ => Map::new(),
    }
}

/// Arranges a list by the names of its objects.
fn objects<'a>(lists: &'a Map<String, Value>, list: &str) -> BTreeMap<&'a str, &'a Value> {
    let items = lists.get(list).and_then(Value::as_array);
    let items = items.into_iter().flatten();
    let named = items.filter_map(|item| match item {
        Value::String(name) => Some((name.as_str(), item)),
        _ => Some((item.get("name")?.as_str()?, item)),
    });
    named.collect()
}

fn compare(
    list: &'static str,
    name: &str,
    before: Option<&Value>,
    after: Option<&Value>,
) -> Option<Change> {
    let kind = match (before, after) {
        (None, _) => Kind::Added,
        (_, None) => Kind::Removed,
        (Some(before), Some(after)) if before == after => return None,
        _ => Kind::Changed,
    };
    let (before, after) = (flat(before), flat(after));
    let mut paths: Vec<_> = before.keys().chain(after.keys()).collect();
    paths.sort();
    paths.dedup();
    let fields = paths.into_iter().filter_map(|path| {
        let (from, to) = (before.get(path).cloned(), after.get(path).cloned());
        let path = path.clone();
        (from != to).then_some(Field { path, from, to })
    });
    Some(Change {
        list,
        name: name.into(),
        kind,
        fields: fields.collect(),
    })
}

/// Lists the fields of an object as texts, without its name.
fn flat(value: Option<&Value>) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    if let Some(Value::Object(object)) = value {
        flatten("", object, &mut fields);
    }
    fields.remove("name");
    fields
}

fn flatten(prefix: &str, object: &Map<String, Value>, fields: &mut BTreeMap<String, String>) {
    for (name, value) in object {
        let path = format!("{prefix}{name}");
        match value {
            Value::Object(inner) => flatten(&format!("{path}."), inner, fields),
            Value::Array(items) => {
                let items: Vec<_> = items.iter().map(plain).collect();
                fields.insert(path, format!("[{}]", items.join(", ")));
            }
            value => {
                fields.insert(path, plain(value));
            }
        }
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        value => value.to_string(),
    }
}
