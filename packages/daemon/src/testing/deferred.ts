/** A promise that a test resolves explicitly. */
export interface Deferred {
  readonly promise: Promise<void>;
  resolve(): void;
}

/** Creates an unresolved {@link Deferred}. */
export function deferred(): Deferred {
  let resolve = () => {};
  const promise = new Promise<void>((settle) => {
    resolve = settle;
  });
  return { promise, resolve };
}
