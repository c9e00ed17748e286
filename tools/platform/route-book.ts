/**
 * What each configuration allows: the versions that the operator sent and, for a request, the service and the home regions
 * that each of them names.
 */
import type { Recording } from './recording.js';

/** The versions of the configuration, for lookups. */
export type RouteBook = {
  readonly versions: readonly RouteBook.Version[];
  readonly find: (version: RouteBook.Version, host: string, path: string) => Recording.Route | undefined;
  /** The versions under which the service may run the request. */
  readonly allowing: (host: string, path: string, service: string) => readonly RouteBook.Version[];
  /** False for what is invalid, was refused or lost its race. */
  readonly mayBeInForce: (version: RouteBook.Version) => boolean;
  /** The versions that have no route for the request. */
  readonly lacking: (host: string, path: string) => readonly RouteBook.Version[];
};

/** Types used with it. */
export declare namespace RouteBook {
  type Version = Extract<Recording.Order, { kind: 'configuration' }>;
}

const find = (version: RouteBook.Version, host: string, path: string): Recording.Route | undefined =>
  version.routes
    .filter((route) => route.host.toLowerCase() === host.toLowerCase() && path.startsWith(route.prefix))
    .sort((a, b) => b.prefix.length - a.prefix.length)[0];

/** Reads the versions of a recording. */
export const RouteBook = {
  of(recording: Recording): RouteBook {
    const versions = recording.orders
      .flatMap((order) => (order.kind === 'configuration' ? [order] : []))
      .sort((a, b) => a.revision - b.revision || a.sent - b.sent);
    const mayBeInForce = (version: RouteBook.Version) =>
      version.isValid && !(version.status >= 400 && version.status < 500);
    return {
      versions,
      find,
      mayBeInForce,
      allowing: (host, path, service) =>
        versions.filter((version) => find(version, host, path)?.services.includes(service)),
      lacking: (host, path) =>
        versions.filter((version) => mayBeInForce(version) && !find(version, host, path)),
    };
  },
};
