/**
 * Decides whether a response body that has ended is whole; nothing else in the system does. A length or chunks tell it by themselves.
 * A body without either ends with its connection, which the system also closes in order when the server's process is killed. Such a
 * body is whole only if the connection was not reset and the body does not break off inside a structure that its headers state: an
 * event of an event stream, or an object or array of JSON. An event stream without any event and JSON without any value count as broken off too. A body that
 * breaks off between two events, or one of another kind, cannot be told from a whole one.
 */
import type { IncomingMessage } from 'node:http';
import { ContentKind } from './content-kind.js';
import { EventScanner } from './event-scanner.js';
import { JsonScanner } from './json-scanner.js';

/** Follows one body to its end. */
export type BodyEnd = {
  /** Registers bytes of the body, in the order in which they arrive. */
  readonly add: (chunk: Buffer) => void;
  /** Why the body is truncated, now that it has ended; undefined if it is whole. */
  readonly truncation: () => string | undefined;
};

export declare namespace BodyEnd {
  type Options = {
    /** The method of the request. */
    readonly method: string;
    readonly response: IncomingMessage;
    /** Whether the peer closed the connection without a reset. */
    readonly hasEndedCleanly: () => boolean;
  };
}

const hasNoBody = (method: string, status: number): boolean =>
  method === 'HEAD' || status === 204 || status === 304;

/** Whether the body is delimited only by the close of the connection. */
const isDelimitedByClose = ({ method, response }: BodyEnd.Options): boolean => {
  const { statusCode = 0, headers } = response;
  return (
    !hasNoBody(method, statusCode) &&
    headers['content-length'] === undefined &&
    !/(?:^|,)\s*chunked\s*$/i.test(headers['transfer-encoding'] ?? '')
  );
};

/** Looks for a break inside the structure of a body. */
const followStructure = (kind: ContentKind): BodyEnd => {
  if (kind === 'events') {
    const scanner = EventScanner.of();
    const truncation = () => {
      if (!scanner.isBetweenEvents()) return 'the event stream ended inside an event';
      return scanner.eventCount() === 0 ? 'the event stream ended before its first event' : undefined;
    };
    return { add: scanner.scan, truncation };
  }
  if (kind === 'json') {
    const scanner = JsonScanner.of();
    const truncation = () => {
      if (scanner.isInsideValue()) return 'the JSON text ended inside a value';
      return scanner.isEmpty() ? 'the JSON text ended before its first value' : undefined;
    };
    return { add: scanner.scan, truncation };
  }
  return { add: () => {}, truncation: () => undefined };
};

/** Follows bodies. */
export const BodyEnd = {
  of(options: BodyEnd.Options): BodyEnd {
    const { response, hasEndedCleanly } = options;
    const incomplete = () => (response.complete ? undefined : 'the connection closed inside the body');
    if (!isDelimitedByClose(options)) return { add: () => {}, truncation: incomplete };
    const structure = followStructure(ContentKind.of(response.headers));
    const reset = () => (hasEndedCleanly() ? undefined : 'the connection was reset');
    return { add: structure.add, truncation: () => incomplete() ?? reset() ?? structure.truncation() };
  },
};
