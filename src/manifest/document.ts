/**
 * The schemas of the manifest that operators write and of the server list, each defined once as a guard from which its
 * type is inferred. Timeouts, retry conditions and ejection settings have the names that Envoy uses; durations are in
 * milliseconds.
 */
import { Guard } from '../common/guard.js';
import type { Id } from '../common/id.js';

const namePattern = { like: /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/, as: 'a name of letters, digits, . _ -' };
const header = Guard.string({ like: /^[a-z0-9-]{1,64}$/, as: 'a header name in lower case' });
const durationMs = Guard.integer({ min: 1, max: 3_600_000 });
const status = Guard.integer({ min: 400, max: 599 });
const path = Guard.string({ like: /^\/[^\s?#]*$/, as: 'a path that begins with /' });

const group = Guard.string<Id.Group>(namePattern);
const region = Guard.string<Id.Region>(namePattern);
const zone = Guard.string<Id.Zone>(namePattern);
const home = Guard.string<Id.Home>(namePattern);
const team = Guard.string<Id.Team>(namePattern);
const instance = Guard.string<Id.Instance>(namePattern);

const timeouts = {
  connect: durationMs,
  first_byte: durationMs,
  per_try: durationMs,
  total: durationMs,
  idle: durationMs,
};
/** Where a value is found in a response: a header, or a JSON pointer into the body. */
const location = Guard.strictObject(
  {},
  { header, pointer: Guard.string({ like: /^(\/[^/]*)+$/, as: 'a JSON pointer' }) },
);

const identity = Guard.strictObject(
  { path },
  {
    service: Guard.strictObject({ at: location, is: Guard.string({ max: 256 }) }),
    instance: location,
  },
);

const ejection = Guard.strictObject(
  {},
  {
    consecutive_5xx: Guard.integer({ min: 1, max: 1000 }),
    base_ejection_time: durationMs,
    max_ejection_percent: Guard.integer({ min: 0, max: 100 }),
  },
);

/** The header by which a request names the instance it is meant for, and the status of a refusal by another one. */
const proof = Guard.strictObject({ header }, { misdirected: status });
const warmup = Guard.strictObject({ per_second: Guard.number({ min: 0, max: 1_000_000 }), span: durationMs });

/** How the servers of a group isolate the prompt caches of tenants: by which means, its name, and for which tenant. */
const wall = Guard.strictObject(
  { by: Guard.oneOf('field', 'header', 'none') },
  {
    name: Guard.string({ like: /^[a-z0-9_-]{1,64}$/, as: 'a field or header name in lower case' }),
    for: Guard.string(namePattern),
  },
);

const groupEntry = Guard.strictObject(
  { kind: Guard.oneOf('model', 'plain'), regions: Guard.list(region, { min: 1 }) },
  {
    proof,
    echo: header,
    warmup,
    connections: Guard.integer({ min: 1, max: 1_000_000 }),
    memory: Guard.integer({ min: 1 }),
    health: path,
    models: Guard.list(Guard.string({ max: 128 }), { min: 1 }),
    adapters: Guard.list(Guard.string({ max: 128 })),
    identity,
    wall,
    not_run: Guard.list(Guard.strictObject({ status }, { header, is: Guard.string({ max: 128 }) })),
    concurrent: Guard.integer({ min: 1, max: 100_000 }),
    ejection,
  },
);

const conditions = [
  'connect-failure',
  'refused-stream',
  'reset',
  'gateway-error',
  '5xx',
  'retriable-status-codes',
] as const;

const retry = Guard.strictObject(
  {},
  {
    retry_on: Guard.list(Guard.oneOf(...conditions)),
    codes: Guard.list(status),
    count: Guard.integer({ min: 0, max: 10 }),
    base: durationMs,
    max: durationMs,
  },
);

const rule = Guard.strictObject(
  {
    name: Guard.string(namePattern),
    match: Guard.strictObject(
      { path },
      {
        host: Guard.string({ max: 253 }),
        method: Guard.oneOf('GET', 'POST', 'PUT', 'DELETE', 'PATCH', 'HEAD'),
        models: Guard.list(Guard.string({ max: 128 }), { min: 1 }),
        headers: Guard.map(Guard.string({ max: 256 }), header),
      },
    ),
    groups: Guard.list(group, { min: 1, max: 32 }),
    runs: Guard.oneOf('once', 'repeatable', 'resumable'),
  },
  {
    home: Guard.strictObject({}, { header, regions: Guard.list(region, { min: 1 }) }),
    weights: Guard.map(Guard.number({ min: 0, max: 1_000_000_000 }), group),
    aim: durationMs,
    gap: durationMs,
    priority: Guard.integer({ min: 0, max: 9 }),
    spill: Guard.list(region),
    fallback: Guard.list(
      Guard.strictObject(
        { groups: Guard.list(group, { min: 1, max: 32 }) },
        { model: Guard.string({ max: 128 }) },
      ),
      { max: 8 },
    ),
    hops: Guard.integer({ min: 0, max: 16 }),
    timeouts: Guard.strictObject({}, timeouts),
    bounds: Guard.strictObject({}, timeouts),
    retry,
    affinity: Guard.boolean,
    needs_key: Guard.boolean,
    wall: Guard.oneOf('own', 'shared'),
    body: Guard.integer({ min: 0, max: 64 * 1024 * 1024 }),
    teams: Guard.list(team, { min: 1 }),
  },
);

const quota = Guard.strictObject(
  { span: Guard.integer({ min: 1000, max: 86_400_000 }) },
  {
    requests: Guard.integer({ min: 1 }),
    prompt: Guard.integer({ min: 1 }),
    slack: Guard.integer({ min: 0, max: 1_000_000 }),
  },
);

const limits = Guard.strictObject(
  {},
  {
    header_bytes: Guard.integer({ min: 1, max: 16 * 1024 * 1024 }),
    body_bytes: Guard.integer({ min: 1, max: 64 * 1024 * 1024 }),
    header_time: durationMs,
    idle: durationMs,
  },
);

/** Cache isolation of tenants. */
const walls = Guard.strictObject(
  { generation: Guard.integer({ min: 1 }) },
  {
    secret: Guard.string({ like: /^([0-9a-f]{64}|new)$/, as: '32 bytes in hexadecimal, or new' }),
    owners: Guard.map(Guard.strictObject({ teams: Guard.list(team, { min: 1 }) }), Guard.string(namePattern)),
  },
);

/** The document from which a manifest was translated, compressed, so that it can be read back as it was sent. */
const source = Guard.strictObject({
  format: Guard.string(namePattern),
  number: Guard.integer({ min: 0 }),
  digest: Guard.string({ max: 128 }),
  packed: Guard.string({ max: 32 * 1024 * 1024 }),
});

const manifest = Guard.strictObject(
  {
    zones: Guard.map(Guard.strictObject({ region }), zone),
    groups: Guard.map(groupEntry, group),
    homes: Guard.map(Guard.strictObject({ regions: Guard.list(region, { min: 1 }) }), home),
    teams: Guard.map(
      Guard.strictObject(
        {
          keys: Guard.list(Guard.string({ like: /^[0-9a-f]{64}$/, as: 'a SHA-256 in hexadecimal' }), {
            max: 10_000,
          }),
        },
        {
          home,
          homes: Guard.list(home, { min: 1 }),
          quota,
          open: Guard.boolean,
          priority: Guard.integer({ min: 0, max: 9 }),
        },
      ),
      team,
    ),
    rules: Guard.list(rule, { max: 5000 }),
  },
  { evacuations: Guard.list(zone), note: Guard.string({ max: 4096 }), limits, source, walls },
);

const server = Guard.strictObject(
  { instance, group, address: Guard.address, region, zone },
  {
    slots: Guard.integer({ min: 1, max: 1_000_000 }),
    warming: Guard.integer({ min: 0 }),
    software: Guard.string({ max: 128 }),
    isLeaving: Guard.boolean,
  },
);
const servers = Guard.strictObject({ serial: Guard.integer({ min: 1 }), servers: Guard.list(server) });

/** A manifest. */
export type Document = Guard.Of<typeof manifest>;

/** Parts of a manifest, and the server list. */
export declare namespace Document {
  /** A server group. */
  type Group = Guard.Of<typeof groupEntry>;
  type Rule = Guard.Of<typeof rule>;
  type Quota = Guard.Of<typeof quota>;
  type Walls = Guard.Of<typeof walls>;
  /** The document from which the manifest was translated. */
  type Source = Guard.Of<typeof source>;
  type Limits = Guard.Of<typeof limits>;
  type Proof = Guard.Of<typeof proof>;
  type Warmup = Guard.Of<typeof warmup>;
  type Identity = Guard.Of<typeof identity>;
  /** An entry of the server list. */
  type Server = Guard.Of<typeof server>;
  type Servers = Guard.Of<typeof servers>;
  type Timeouts = Guard.Required<typeof timeouts>;
  /** Where a value is found in a response. */
  type Location = Guard.Of<typeof location>;
}

/** The guards of documents. */
export const Document = { manifest, servers, leaving: Guard.strictObject({ instance }), conditions };
