/** A promise that a test settles from outside. */
export interface Deferred {
  readonly promise: Promise<void>;
  resolve(): void;
}

/** Creates a promise with its resolver. */
export function deferred(): Deferred {
  let resolve = () => {};
  const promise = new Promise<void>((settle) => {
    resolve = settle;
  });
  return { promise, resolve };
}
