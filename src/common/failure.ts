/** Errors with a name that code can match on, an optional cause, and structured fields for the log. */
import VError from 'verror';

/** A named error with a cause and structured fields. */
export type Failure = VError;

/** The names that a failure can have. */
export declare namespace Failure {
  type Name =
    | 'link'
    | 'frame'
    | 'silence'
    | 'startup'
    | 'store'
    | 'connect'
    | 'identity'
    | 'stale'
    | 'unconfirmed'
    | 'reset'
    | 'timeout'
    | 'left';
}

/** Creates and inspects failures. */
export const Failure = {
  /** Creates a failure; a `cause` that is not an Error is ignored. */
  of: (name: Failure.Name, text: string, info: Record<string, unknown> = {}, cause?: unknown): Failure =>
    new VError({ name, info, ...(cause instanceof Error ? { cause } : {}) }, '%s', text),
  is: (error: unknown, name: Failure.Name): error is Failure => error instanceof Error && error.name === name,
  /** The message of any thrown value. */
  text: (error: unknown): string => (error instanceof Error ? error.message : String(error)),
  /** The structured fields of an error and of its causes. */
  info: (error: unknown): Record<string, unknown> => (error instanceof Error ? VError.info(error) : {}),
};
