// Grammar of the scenario language: one statement per line.

{{
  function statement(kind, fields) {
    return { kind, ...fields };
  }
}}

Scenario
  = first:Line rest:("\n" @Line)* { return [first, ...rest].filter((line) => line !== null); }

Line
  = _ statement:Statement? _ Comment? { return statement; }

Statement
  = Title / Without / Seed / Send / Again / Leave / Dies / Replaced / Freezes / Stops
  / Cut / Heal / Silent / PlatformDown / PlatformUp / PlatformSlow / PlatformLoses
  / Crashes / Restarts / LeavesPool / Stall / GoOn / ReportsStop / Manifest / Wait / Expect

Title = "scenario" __ title:Text { return statement("title", { title }); }
Without = "fails" __ "without" __ mutant:Text { return statement("without", { mutant }); }
Seed = "seed" __ seed:Number { return statement("seed", { seed }); }

Send
  = caller:Name __ "sends" __ what:What __ key:Name __ "to" __ vm:Name
    options:(__ @SendOption)* {
      return statement("send", { caller, what, key, vm, options });
    }

Again
  = caller:Name __ "sends" __ what:What __ key:Name __ "again" __ "to" __ vm:Name
    options:(__ @SendOption)* {
      return statement("send", { caller, what, key, vm, options });
    }

What = "filing" / "summary"

SendOption
  = "of" __ tokens:Number __ "tokens" { return { kind: "tokens", tokens }; }
  / "from" __ "token" __ offset:Number { return { kind: "offset", offset }; }
  / "from" __ "where" __ caller:Name __ "stopped" { return { kind: "after", caller }; }
  / "with" __ "body" __ body:Text { return { kind: "body", body }; }
  / "within" __ ms:Duration { return { kind: "within", ms }; }
  / "that" __ "crashes" __ "engines" { return { kind: "crashes" }; }

Leave = caller:Name __ "leaves" !(__ "the") { return statement("leave", { caller }); }
Dies = vm:Name __ "dies" { return statement("dies", { vm }); }
Replaced = vm:Name __ "is" __ "replaced" { return statement("replaced", { vm }); }
Freezes = vm:Name __ "freezes" __ "for" __ ms:Duration { return statement("freezes", { vm, ms }); }
Stops = vm:Name __ "stops" __ "as" __ "planned" { return statement("stops", { vm }); }
Cut = "path" __ a:Name __ "to" __ b:Name __ "is" __ "cut" { return statement("cut", { a, b }); }
Heal = "path" __ a:Name __ "to" __ b:Name __ "heals" { return statement("heal", { a, b }); }
Silent = "connections" __ a:Name __ "to" __ b:Name __ "go" __ "silent" { return statement("silent", { a, b }); }
PlatformDown = "platform" __ "goes" __ "down" { return statement("platform", { state: "down" }); }
PlatformUp = "platform" __ "comes" __ "back" { return statement("platform", { state: "up" }); }
PlatformSlow = "platform" __ "is" __ "slow" __ "by" __ ms:Duration { return statement("platform", { state: "slow", ms }); }
PlatformLoses = "platform" __ "loses" __ count:Number __ ("replies" / "reply") { return statement("platform", { state: "loses", count }); }
Crashes = engine:Name __ "crashes" { return statement("crashes", { engine }); }
Restarts = engine:Name __ "restarts" { return statement("restarts", { engine }); }
LeavesPool = engine:Name __ "leaves" __ "the" __ "pool" { return statement("leavesPool", { engine }); }
Stall = "transfers" __ "of" __ engine:Name __ "stall" { return statement("stall", { engine, stalled: true }); }
GoOn = "transfers" __ "of" __ engine:Name __ "go" __ "on" { return statement("stall", { engine, stalled: false }); }
ReportsStop = "reports" __ "of" __ engine:Name __ "stop" { return statement("reportsStop", { engine }); }
Manifest
  = operator:Name __ "submits" __ id:Name __ "to" __ vm:Name __ "changing" __ scope:Name __ "based" __ "on" __ basedOn:Number {
      return statement("manifest", { operator, id, vm, scope, basedOn });
    }
Wait = "wait" __ ms:Duration { return statement("wait", { ms }); }

Expect
  = "expect" __ expectation:Expectation { return statement("expect", { expectation }); }

Expectation
  = "filing" __ key:Name __ "ran" __ bound:("at" __ "most" __)? count:Number __ ("times" / "time") {
      return { kind: "ran", key, count, atMost: bound !== null };
    }
  / caller:Name __ "is" __ "answered" { return { kind: "answered", caller }; }
  / caller:Name __ "is" __ "not" __ "answered" { return { kind: "unanswered", caller }; }
  / caller:Name __ "has" __ "tokens" { return { kind: "tokens", caller }; }
  / caller:Name __ "is" __ "told" __ "not" __ "run" reason:Because? { return { kind: "refused", caller, verdict: "notRun", reason }; }
  / caller:Name __ "is" __ "told" __ "may" __ "have" __ "run" reason:Because? { return { kind: "refused", caller, verdict: "mayHaveRun", reason }; }
  / "nothing" __ "is" __ "held" { return { kind: "nothingHeld" }; }
  / "at" __ "most" __ count:Number __ "engines" __ "crashed" { return { kind: "crashed", count }; }
  / "no" __ "new" __ "work" __ "at" __ engine:Name { return { kind: "noNewWork", engine }; }
  / id:Name __ "is" __ "accepted" { return { kind: "manifest", id, outcome: "accepted" }; }
  / id:Name __ "is" __ "in" __ "conflict" { return { kind: "manifest", id, outcome: "conflict" }; }
  / "version" __ version:Number __ "is" __ "in" __ "force" __ "everywhere" { return { kind: "inForce", version }; }

Because = __ "because" __ reason:Name { return reason; }

Duration
  = value:Number __ "ms" { return value; }
  / value:Number __ "s" { return value * 1000; }

Name = $[a-z0-9-]+
Number = digits:$[0-9]+ { return Number(digits); }
Text = "\"" text:$[^"\n]* "\"" { return text; }
Comment = "#" [^\n]*
_ = [ \t]*
__ = [ \t]+
