// What the fuzzer of the request path needs of the platform: the proxy's dialect, and the headers in which requests
// and answers are named, timed, proved and declined.
import { PlatformDialect } from '../../platform/dialect.js';
import { Words } from './words.js';

export const FuzzWords = {
  dialect: PlatformDialect,
  attempt: Words.attempt.toLowerCase(),
  remaining: Words.remaining.toLowerCase(),
  target: Words.target.toLowerCase(),
  notExecuted: Words.notExecuted.toLowerCase(),
} as const;
