// Mishaps are errors with a name that code can match on, a cause, and facts for the log.
import VError from 'verror';

export type Mishap = VError;

export declare namespace Mishap {
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

export const Mishap = {
  of: (name: Mishap.Name, text: string, info: Record<string, unknown> = {}, cause?: unknown): Mishap =>
    new VError({ name, info, ...(cause instanceof Error ? { cause } : {}) }, '%s', text),
  is: (error: unknown, name: Mishap.Name): error is Mishap => error instanceof Error && error.name === name,
  text: (error: unknown): string => (error instanceof Error ? error.message : String(error)),
  info: (error: unknown): Record<string, unknown> => (error instanceof Error ? VError.info(error) : {}),
};
