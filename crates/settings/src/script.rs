//! Runs a script and collects its calls. Nothing is understood here beyond the words of the
//! language.
//!
//! Each call such as `node(id = 1, zone = "a")` is kept with its place. `ms(250)` and `s(2)` make
//! spans; `keyed(group = "zone", remembered = s(2))` makes a kind of repeat. A file may `load`
//! another one beside it, whose calls come first.

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

/// More calls than this are a slip in a loop.
const MAX_CALLS: usize = 200_000;
const MAX_LOADS: usize = 16;

#[derive(Debug, Default, ProvidesStaticType)]
struct Calls(RefCell<Vec<Call>>);

fn place(eval: &Evaluator) -> Place {
    match eval.call_stack_top_location() {
        Some(span) => Place {
            file: span.filename().to_string(),
            line: span.resolve_span().begin.line + 1,
        },
        None => Place::default(),
    }
}

fn keep<'v>(
    what: &'static str,
    fields: SmallMap<String, Value<'v>>,
    eval: &mut Evaluator<'v, '_, '_>,
) -> anyhow::Result<NoneType> {
    let place = place(eval);
    let mut values = Map::new();
    for (name, value) in fields {
        let json = value
            .to_json_value()
            .map_err(|e| anyhow::anyhow!("{what}: field '{name}': {e}"))?;
        values.insert(name, json);
    }
    let calls = eval
        .extra
        .and_then(|e| e.downcast_ref::<Calls>())
        .expect("given to every evaluator");
    let mut calls = calls.0.borrow_mut();
    anyhow::ensure!(calls.len() < MAX_CALLS, "more than {MAX_CALLS} calls");
    calls.push(Call {
        what,
        place,
        fields: values,
    });
    Ok(NoneType)
}

#[starlark_module]
fn spans(builder: &mut GlobalsBuilder) {
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
                    keep(stringify!($name), fields, eval)
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

fn fault(e: &starlark::Error, path: &str) -> Fault {
    let place = match e.span() {
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
        what: e.without_diagnostic().to_string(),
    }
}

fn run(path: &Path, text: String, calls: &Calls, depth: usize) -> Result<FrozenModule, Fault> {
    let name = path.display().to_string();
    let at = |line: usize, what: String| Fault {
        place: Place {
            file: name.clone(),
            line,
        },
        what,
    };
    if depth > MAX_LOADS {
        return Err(at(0, format!("loads nest deeper than {MAX_LOADS}")));
    }
    let dialect = Dialect {
        enable_top_level_stmt: true,
        enable_f_strings: true,
        ..Dialect::Extended
    };
    let ast = AstModule::parse(&name, text, &dialect).map_err(|e| fault(&e, &name))?;
    let mut loaded = Vec::new();
    for load in ast.loads() {
        let line = load.span.resolve_span().begin.line + 1;
        let beside = path.parent().unwrap_or(Path::new("")).join(load.module_id);
        let text = std::fs::read_to_string(&beside)
            .map_err(|e| at(line, format!("load: cannot read {}: {e}", beside.display())))?;
        loaded.push((
            load.module_id.to_string(),
            run(&beside, text, calls, depth + 1)?,
        ));
    }
    let modules = loaded
        .iter()
        .map(|(name, module)| (name.as_str(), module))
        .collect();
    let loader = ReturnFileLoader { modules: &modules };
    let globals: Globals = GlobalsBuilder::standard()
        .with(spans)
        .with(self::calls)
        .build();
    Module::with_temp_heap(|module| {
        {
            let mut eval = Evaluator::new(&module);
            eval.set_loader(&loader);
            eval.extra = Some(calls);
            eval.eval_module(ast, &globals)
                .map_err(|e| fault(&e, &name))?;
        }
        module.freeze().map_err(|e| at(0, format!("{e:?}")))
    })
}

/// All calls of a script in order, or why it cannot run. `path` names it in faults and finds what
/// it loads.
pub fn calls_of(path: &Path, text: String) -> Result<Vec<Call>, Fault> {
    let calls = Calls::default();
    run(path, text, &calls, 0)?;
    Ok(calls.0.into_inner())
}
