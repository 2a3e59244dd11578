/** Imported first, because most signals without a listener end the process at once. */
import process from "node:process";

/** What a program does on signals. */
export interface SignalHandlers {
  /** Called for each SIGTERM and SIGINT. */
  stop(signal: NodeJS.Signals): void;
  /** Called for SIGHUP and for signals that ask for nothing. */
  other(signal: NodeJS.Signals): void;
}

const STOP_SIGNALS = ["SIGTERM", "SIGINT"] as const;
const OTHER_SIGNALS = [
  "SIGHUP",
  "SIGUSR2",
  "SIGALRM",
  "SIGVTALRM",
  "SIGIO",
  "SIGPWR",
] as const;

// Nothing has been accepted yet, and the settings are read later, with any change.
let handlers: SignalHandlers = {
  stop: () => process.exit(0),
  other() {},
};

/** Calls these handlers for later signals, instead of those set before. */
export function handleSignals(newHandlers: SignalHandlers): void {
  handlers = newHandlers;
}

for (const signal of STOP_SIGNALS) {
  process.on(signal, () => handlers.stop(signal));
}
for (const signal of OTHER_SIGNALS) {
  process.on(signal, () => handlers.other(signal));
}
