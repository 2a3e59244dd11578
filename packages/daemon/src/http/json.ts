/** Parses JSON that another process sent. */

/** Parses a text; undefined when it is not JSON. */
export function tryParseJson<T>(text: string): T | undefined {
  try {
    return JSON.parse(text) as T;
  } catch {
    return undefined;
  }
}
