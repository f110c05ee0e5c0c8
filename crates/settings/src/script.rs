//! Runs a script and collects its calls. This module knows the names of the calls, and not their
//! meaning.
//!
//! Each call such as `node(id = 1, zone = "a")` is collected with its place. `ms(250)` and `s(2)`
//! make durations; `keyed(group = "zone", remembered = s(2))` makes an idempotency key's scope and
//! window. A file may `load` another file of the same folder, whose calls come first.

// The expansion of starlark's derives names traits by their full paths.
#![allow(unused_qualifications)]

use crate::fields::{Call, Fault, Place};
use serde_json::{json, Map, Value as Json};
use starlark::any::ProvidesStaticType;
use starlark::collections::SmallMap;
use starlark::environment::{FrozenModule, Globals, GlobalsBuilder, Module};
use starlark::eval::{Evaluator, ReturnFileLoader};
use starlark::starlark_module;
use starlark::syntax::{AstModule, Dialect};
use starlark::values::none::NoneType;
use starlark::values::Value;
use std::cell::RefCell;
use std::path::Path;

/// Maximum number of calls of one script. More calls are probably an error in a loop. With a larger
/// number such a script could use much memory; a smaller one rejects large deployments.
const MAX_CALLS: usize = 200_000;
/// Maximum depth of nested loads. It stops a file that loads itself.
const MAX_LOADS: usize = 16;

#[derive(Debug, Default, ProvidesStaticType)]
struct Calls(RefCell<Vec<Call>>);

/// Returns the place of the call that is being evaluated.
fn place(eval: &Evaluator) -> Place {
    match eval.call_stack_top_location() {
        Some(span) => Place {
            file: span.filename().to_string(),
            line: span.resolve_span().begin.line + 1,
        },
        None => Place::default(),
    }
}

/// Collects a call. `what`: the call's name.
fn collect<'v>(
    what: &'static str,
    fields: SmallMap<String, Value<'v>>,
    eval: &mut Evaluator<'v, '_, '_>,
) -> anyhow::Result<NoneType> {
    let place = place(eval);
    let mut values = Map::new();
    for (name, value) in fields {
        let json = value
            .to_json_value()
            .map_err(|error| anyhow::anyhow!("{what}: field '{name}': {error}"))?;
        values.insert(name, json);
    }
    let calls = eval
        .extra
        .and_then(|extra| extra.downcast_ref::<Calls>())
        .expect("every evaluator has the calls");
    let mut calls = calls.0.borrow_mut();
    anyhow::ensure!(calls.len() < MAX_CALLS, "more than {MAX_CALLS} calls");
    calls.push(Call {
        name: what,
        place,
        fields: values,
    });
    Ok(NoneType)
}

#[starlark_module]
fn durations(builder: &mut GlobalsBuilder) {
    fn ms<'v>(n: Value<'v>) -> anyhow::Result<Json> {
        Ok(json!({ "ms": number(n, "ms")? }))
    }
    fn s<'v>(n: Value<'v>) -> anyhow::Result<Json> {
        Ok(json!({ "ms": number(n, "s")? * 1000.0 }))
    }
    fn keyed<'v>(
        #[starlark(require = named)] group: &str,
        #[starlark(require = named)] remembered: Value<'v>,
    ) -> anyhow::Result<Json> {
        Ok(json!({ "group": group, "remembered": remembered.to_json_value()? }))
    }
}

fn number(n: Value, of: &str) -> anyhow::Result<f64> {
    let json = n.to_json_value()?;
    json.as_f64()
        .ok_or_else(|| anyhow::anyhow!("{of}(): expected a number, found {json}"))
}

macro_rules! calls {
    ($($name:ident),*) => {
        #[starlark_module]
        fn calls(builder: &mut GlobalsBuilder) {
            $(
                fn $name<'v>(
                    #[starlark(kwargs)] fields: SmallMap<String, Value<'v>>,
                    eval: &mut Evaluator<'v, '_, '_>,
                ) -> anyhow::Result<NoneType> {
                    collect(stringify!($name), fields, eval)
                }
            )*
        }
    };
}

calls!(
    deployment,
    zone,
    stream_type,
    plan,
    volume,
    node,
    host,
    node_list,
    units,
    legs,
    rules,
    bounds,
    portal,
    target,
    state_service,
    fleet,
    rehearsal,
    load_of,
    trouble,
    change
);

fn fault(error: &starlark::Error, path: &str) -> Fault {
    let place = match error.span() {
        Some(span) => Place {
            file: span.filename().to_string(),
            line: span.resolve_span().begin.line + 1,
        },
        None => Place {
            file: path.into(),
            line: 0,
        },
    };
    Fault {
        place,
        what: error.without_diagnostic().to_string(),
    }
}

/// Runs a file, after the files that it loads.
fn run(path: &Path, text: String, calls: &Calls, depth: usize) -> Result<FrozenModule, Fault> {
    let name = path.display().to_string();
    let fault_at = |line: usize, what: String| Fault {
        place: Place {
            file: name.clone(),
            line,
        },
        what,
    };
    if depth > MAX_LOADS {
        return Err(fault_at(0, format!("loads nest deeper than {MAX_LOADS}")));
    }
    let dialect = Dialect {
        enable_top_level_stmt: true,
        enable_f_strings: true,
        ..Dialect::Extended
    };
    let ast = AstModule::parse(&name, text, &dialect).map_err(|error| fault(&error, &name))?;
    let mut loaded = Vec::new();
    for load in ast.loads() {
        let line = load.span.resolve_span().begin.line + 1;
        let folder = path.parent().unwrap_or(Path::new(""));
        let loaded_path = folder.join(load.module_id);
        let text = std::fs::read_to_string(&loaded_path).map_err(|error| {
            let what = format!("load: cannot read {}: {error}", loaded_path.display());
            fault_at(line, what)
        })?;
        let module = run(&loaded_path, text, calls, depth + 1)?;
        loaded.push((load.module_id.to_string(), module));
    }
    let modules = loaded
        .iter()
        .map(|(name, module)| (name.as_str(), module))
        .collect();
    let loader = ReturnFileLoader { modules: &modules };
    let globals: Globals = GlobalsBuilder::standard()
        .with(durations)
        .with(self::calls)
        .build();
    Module::with_temp_heap(|module| {
        {
            let mut eval = Evaluator::new(&module);
            eval.set_loader(&loader);
            eval.extra = Some(calls);
            eval.eval_module(ast, &globals)
                .map_err(|error| fault(&error, &name))?;
        }
        module
            .freeze()
            .map_err(|error| fault_at(0, format!("{error:?}")))
    })
}

/// Returns all calls of a script in order, or the fault that ended it. `path`: names the script in
/// faults, and finds the files that it loads.
pub fn calls_of(path: &Path, text: String) -> Result<Vec<Call>, Fault> {
    let calls = Calls::default();
    run(path, text, &calls, 0)?;
    Ok(calls.0.into_inner())
}
