/** The directory of proxies at an address of its own, in the protocol of the installation. */

import type { Server } from 'node:http';
import { BoundedServer } from '../overload/bounded-server.js';
import type { Overload } from '../overload/overload.js';
import type { Adapter } from './adapter.js';
import { ReadDirectory } from './queries/read-directory.js';

/** The HTTP server of the directory. */
export type DirectoryHttp = Server;

/** Builds the HTTP server of the directory. */
export const DirectoryHttp = {
  /** Builds the server from the paths that the installation defines. */
  of(
    directory: NonNullable<Adapter['directory']>,
    needs: ReadDirectory.Dependencies,
    overload: Overload,
  ): DirectoryHttp {
    const app = directory.app((zone) => ReadDirectory.find(needs, zone));
    return BoundedServer.of(app.fetch, overload);
  },
};
