//! Output of answers, as tables for people or as JSON for programs.

use serde_json::Value;

/// Prints the array `key` of an answer as a table with the given columns, or all of it as JSON.
pub fn rows(json: bool, answer: &Value, key: &str, columns: &[&str]) {
    if json {
        println!("{answer}");
        return;
    }
    let empty = Vec::new();
    let rows = answer[key].as_array().unwrap_or(&empty);
    let mut lines = vec![columns.iter().map(|c| (*c).to_owned()).collect::<Vec<_>>()];
    for row in rows {
        lines.push(columns.iter().map(|column| cell(&row[*column])).collect());
    }
    table(&lines);
}

/// Prints the fields of an answer, one per line, or the whole answer as JSON.
pub fn fields(json: bool, answer: &Value) {
    if json {
        println!("{answer}");
        return;
    }
    let Some(fields) = answer.as_object() else {
        println!("{}", cell(answer));
        return;
    };
    let lines: Vec<_> = fields
        .iter()
        .map(|(name, value)| vec![name.clone(), cell(value)])
        .collect();
    table(&lines);
}

fn cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        Value::Array(items) if items.is_empty() => "-".to_owned(),
        other => other.to_string(),
    }
}

fn table(lines: &[Vec<String>]) {
    let columns = lines.first().map_or(0, Vec::len);
    let width = |column: usize| lines.iter().map(|line| line[column].len()).max();
    let widths: Vec<_> = (0..columns).map(|c| width(c).unwrap_or(0)).collect();
    for line in lines {
        let cells = line.iter().zip(&widths);
        let cells: Vec<_> = cells
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        println!("{}", cells.join("  ").trim_end());
    }
}
