// Failures are errors with a name that code can match on, a cause, and facts for the log.
import VError from 'verror';

export type Failure = VError;

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

export const Failure = {
  of: (name: Failure.Name, text: string, info: Record<string, unknown> = {}, cause?: unknown): Failure =>
    new VError({ name, info, ...(cause instanceof Error ? { cause } : {}) }, '%s', text),
  is: (error: unknown, name: Failure.Name): error is Failure => error instanceof Error && error.name === name,
  text: (error: unknown): string => (error instanceof Error ? error.message : String(error)),
  info: (error: unknown): Record<string, unknown> => (error instanceof Error ? VError.info(error) : {}),
};
