/** Parsing of JSON received from other processes. */

/** Parses JSON text; returns undefined if it is malformed. `T` is not checked. */
export function tryParseJson<T>(text: string): T | undefined {
  try {
    return JSON.parse(text) as T;
  } catch {
    return undefined;
  }
}
