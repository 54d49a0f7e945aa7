//! Human-readable comparison of two configurations, object by object.
//!
//! Objects are matched by name, so their order is ignored. The order of a list
//! inside an object is significant: the first class of a contract is the default
//! for requests without a class.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;
use serde_json::{Map, Value};
use smol_str::SmolStr;

use crate::config::Configuration;

/// The lists of a configuration, in the order in which changes are displayed.
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

/// A change to one object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Change {
    /// The list that contains the object.
    pub list: &'static str,
    /// The object's name.
    pub name: SmolStr,
    /// The kind of the change.
    pub kind: Kind,
    /// The affected fields.
    pub fields: Vec<Field>,
}

/// The kind of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The object is added.
    Added,
    /// Fields of the object change.
    Changed,
    /// The object is removed.
    Removed,
}

/// The value of a field before and after a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Field {
    /// The path within the object, such as `limits.concurrency`.
    pub path: String,
    /// The value before the change; [`None`] if the field is absent.
    pub from: Option<String>,
    /// The value after the change; [`None`] if the field is absent.
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
            Kind::Added => write!(f, "\n    {}: {}", field.path, display_value(&field.to)),
            Kind::Removed => Ok(()),
            Kind::Changed => write!(f, "\n    {field}"),
        })
    }
}

impl fmt::Display for Field {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (from, to) = (display_value(&self.from), display_value(&self.to));
        write!(f, "{}: {from} -> {to}", self.path)
    }
}

fn display_value(value: &Option<String>) -> &str {
    value.as_deref().unwrap_or("(none)")
}

/// Returns the changes that turn `before` into `after`.
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
    let (before, after) = (to_lists(before), to_lists(after));
    let mut changes = Vec::new();
    for list in LISTS {
        let (before, after) = (
            objects_by_name(&before, list),
            objects_by_name(&after, list),
        );
        let names: Vec<_> = before.keys().chain(after.keys()).collect();
        let mut names = names;
        names.sort();
        names.dedup();
        let found_changes = names.into_iter().filter_map(|name| {
            compare(
                list,
                name,
                before.get(name).copied(),
                after.get(name).copied(),
            )
        });
        changes.extend(found_changes);
    }
    changes
}

/// Formats changes as human-readable text, grouped by list.
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

fn to_lists(configuration: &Configuration) -> Map<String, Value> {
    match serde_json::to_value(configuration) {
        Ok(Value::Object(lists)) => lists,
        _ => Map::new(),
    }
}

/// Indexes a list by the names of its objects.
fn objects_by_name<'a>(lists: &'a Map<String, Value>, list: &str) -> BTreeMap<&'a str, &'a Value> {
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
    let (before, after) = (flat_fields(before), flat_fields(after));
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

/// Returns the fields of an object as text by path, without its name.
fn flat_fields(value: Option<&Value>) -> BTreeMap<String, String> {
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
                let items: Vec<_> = items.iter().map(value_text).collect();
                fields.insert(path, format!("[{}]", items.join(", ")));
            }
            value => {
                fields.insert(path, value_text(value));
            }
        }
    }
}

fn value_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        value => value.to_string(),
    }
}
