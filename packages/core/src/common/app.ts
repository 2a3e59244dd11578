/** A domain's handlers, listed by name in one typed map. */

// deno-lint-ignore no-explicit-any
type AnyHandler = (params: any) => unknown;

/** Handlers by method name; each takes one typed parameter object. */
export type Handlers<T> = { readonly [Name in keyof T]: AnyHandler };

/** The handlers of one domain. */
export interface App<T extends Handlers<T>> {
  readonly handlers: T;
}

/** Lists a domain's handlers. */
export function createApp<T extends Handlers<T>>(handlers: T): App<T> {
  return { handlers };
}

/** The parameters that a method takes. */
export type ParamsOf<T, Name extends keyof T> = T[Name] extends (
  params: infer Params,
) => unknown ? Params
  : never;

/** What a method answers, once awaited. */
export type ResultOf<T, Name extends keyof T> = T[Name] extends (
  params: never,
) => infer Answer ? Awaited<Answer>
  : never;
