//! Runs the whole path on embedded stand-ins: three hosts, three engines, a short and a very long
//! prompt. The host processes are this program again, with the arguments of `parsleystage`. With
//! `--keep` the fleet stays until standard input ends, to be tried with `parsleyctl`.

use std::{process::ExitCode, time::Duration};

use parsley_node::command::{self, serve};
use parsley_standins::{
    caller::{self, Prompt},
    fleet::FleetBuilder,
};

fn main() -> ExitCode {
    let mut parser = lexopt::Parser::from_env();
    let mut keep = false;
    match parser.next() {
        Ok(Some(lexopt::Arg::Value(name))) if name == "serve" => {
            return command::exit_code(serve::run(parser));
        }
        Ok(Some(lexopt::Arg::Long("keep"))) => keep = true,
        Ok(None) => {}
        _ => {
            eprintln!("Usage: quickstart [--keep]");
            return ExitCode::from(2);
        }
    }
    match run(keep) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{err}");
            ExitCode::FAILURE
        }
    }
}

fn run(keep: bool) -> Result<(), String> {
    let program = std::env::current_exe().map_err(|err| err.to_string())?;
    let fleet = FleetBuilder::new(program)
        .step(Duration::from_millis(5))
        .start()
        .map_err(|err| err.to_string())?;
    let first = fleet.hosts()[0].address;
    let addresses = async_io::block_on(caller::entries(first))?;
    println!("callers are told to use {}", addresses.join(", "));
    let short = Prompt {
        token: "token-inspection".to_owned(),
        request: "short-1".to_owned(),
        rank: "urgent".to_owned(),
        model: "inspector".to_owned(),
        text: "Which shackles need a second check before the show?".to_owned(),
        max_tokens: 12,
    };
    let long = Prompt {
        request: "long-1".to_owned(),
        rank: "standard".to_owned(),
        text: "Load chart, page by page. ".repeat(70_000),
        max_tokens: 24,
        ..short.clone()
    };
    for (name, prompt) in [("short", short), ("long", long)] {
        let answer = async_io::block_on(caller::ask(&addresses, &prompt));
        if !answer.complete || answer.text != prompt.expected() {
            return Err(format!("the {name} prompt was not answered: {answer:?}"));
        }
        let tokens = prompt.text.len() / 4;
        let first = answer.first_token.unwrap_or_default().as_millis();
        println!("{name} prompt ({tokens} tokens), first token after {first} ms: {}", answer.text);
    }
    if keep {
        println!("\nexport PARSLEY_SERVER={}", addresses.join(","));
        println!("The fleet runs until the end of standard input (Ctrl-D).");
        let end = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
        end.map_err(|err| err.to_string())?;
    }
    fleet.close();
    Ok(())
}
