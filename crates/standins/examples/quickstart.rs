//! Runs the whole path on embedded stand-ins: three hosts, three engines, a short and a very long
//! prompt. The host processes are this program again, with the arguments of `parsleystage`. With
//! `--keep` the fleet stays until standard input ends, to be tried with `parsleyctl`.

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use http_types::Method;
use parsley_node::command::{self, serve};
use parsley_standins::{
    caller::{self, Prompt},
    fleet::FleetBuilder,
};
use serde_json::Value;

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
    print_status(first)?;
    if keep {
        println!("\nexport PARSLEY_SERVER={}", addresses.join(","));
        println!("The fleet runs until the end of standard input (Ctrl-D).");
        let end = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
        end.map_err(|err| err.to_string())?;
    }
    fleet.close();
    Ok(())
}

/// Prints what a host says about the fleet.
fn print_status(address: SocketAddr) -> Result<(), String> {
    let address = address.to_string();
    let request = caller::request(Method::Get, &address, "/admin/v1/status");
    let status: Value = async_io::block_on(async {
        let mut response = caller::send(&address, request).await?;
        response.body_json().await.map_err(|err| err.to_string())
    })?;
    println!(
        "fleet: configuration revision {}, {} engines and services, hosts:",
        status["revision"], status["resources"]["backendservers"],
    );
    for member in status["members"].as_array().into_iter().flatten() {
        let text = |field: &str| member[field].as_str().unwrap_or_default().to_owned();
        println!("  {} {} {}", text("name"), text("failureDomain"), text("state"));
    }
    Ok(())
}
