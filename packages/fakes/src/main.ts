/** Runs one fake as a process. */
import type { Server } from "node:http";
import process from "node:process";
import { asId } from "@teaselvalve/core";
import { command, number, option, run, string, subcommands } from "cmd-ts";
import { FakeDecodeEngine } from "./engines/decode_engine.ts";
import { CURRENT_PROFILE } from "./engines/profile.ts";
import { FakePrefillEngine } from "./engines/prefill_engine.ts";
import { serveEngine } from "./engines/server.ts";
import { noPlatformFaults } from "./platform/faults.ts";
import { FakePlatform } from "./platform/platform.ts";
import { seededRandom } from "./random.ts";
import { servePlatform } from "./platform/server.ts";
import { PlainService } from "./services/plain_service.ts";
import { serveService } from "./services/server.ts";

const HOST = "127.0.0.1";

const listenArgs = {
  port: option({ long: "port", type: number }),
};

const engineArgs = {
  ...listenArgs,
  id: option({ long: "id", type: string }),
  model: option({ long: "model", type: string }),
  seed: option({ long: "seed", type: number, defaultValue: () => 1 }),
};

function engineOptions(args: { id: string; model: string; seed: number }) {
  return {
    id: asId(args.id) as never,
    models: [args.model],
    profile: CURRENT_PROFILE,
    random: seededRandom(args.seed),
    // A crash of the engine ends its process.
    onCrash: () => process.exit(1),
  };
}

const prefill = command({
  name: "prefill",
  args: engineArgs,
  async handler(args) {
    const engine = new FakePrefillEngine(engineOptions(args));
    engine.open();
    const listenOptions = { host: HOST, port: args.port };
    closeOnSignal(await serveEngine(engine, listenOptions));
  },
});

const decode = command({
  name: "decode",
  args: engineArgs,
  async handler(args) {
    const engine = new FakeDecodeEngine(engineOptions(args));
    engine.open();
    const listenOptions = { host: HOST, port: args.port };
    closeOnSignal(await serveEngine(engine, listenOptions));
  },
});

const platform = command({
  name: "platform",
  args: {
    ...listenArgs,
    listLagMs: option({
      long: "list-lag-ms",
      type: number,
      defaultValue: () => 2_000,
    }),
  },
  async handler(args) {
    const fake = new FakePlatform({ listLagMs: args.listLagMs });
    const server = await servePlatform(fake, {
      host: HOST,
      port: args.port,
      faults: noPlatformFaults(),
    });
    closeOnSignal(server);
  },
});

const service = command({
  name: "service",
  args: {
    ...listenArgs,
    durationMs: option({
      long: "spend-ms",
      type: number,
      defaultValue: () => 20,
    }),
  },
  async handler(args) {
    const listenOptions = { host: HOST, port: args.port };
    const plainService = new PlainService({ durationMs: args.durationMs });
    closeOnSignal(await serveService(plainService, listenOptions));
  },
});

const program = subcommands({
  name: "fakes",
  cmds: { platform, prefill, decode, service },
});

await run(program, process.argv.slice(2));

function closeOnSignal(server: Server): void {
  const close = () => {
    server.close();
    server.closeAllConnections();
    process.exit(0);
  };
  process.once("SIGTERM", close);
  process.once("SIGINT", close);
}
