/** Typed maps of the peer methods of one component to their handlers. */

// deno-lint-ignore no-explicit-any
type AnyHandler = (params: any) => unknown;

/** Handlers by method name. Each takes one typed parameter object. */
export type Handlers<T> = { readonly [Name in keyof T]: AnyHandler };

/** The peer methods of one component, such as quotas or membership. */
export interface App<T extends Handlers<T>> {
  readonly handlers: T;
}

/** Wraps a component's handlers in an app. */
export function createApp<T extends Handlers<T>>(handlers: T): App<T> {
  return { handlers };
}

/** Type of the parameter object of a method. */
export type ParamsOf<T, Name extends keyof T> = T[Name] extends (
  params: infer Params,
) => unknown ? Params
  : never;

/** Type of a method's result, awaited. */
export type ResultOf<T, Name extends keyof T> = T[Name] extends (
  params: never,
) => infer Answer ? Awaited<Answer>
  : never;
