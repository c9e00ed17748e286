/** The startup parameters of each daemon, as guards. Unknown keys are findings. */
import { Guard } from '../common/guard.js';

const name = Guard.string({
  like: /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/,
  as: 'a name of letters, digits, . _ -',
});
const seeds = Guard.list(Guard.address, { min: 1, max: 3 });

const extraTries = Guard.strictObject(
  { count: Guard.number({ min: 0 }), window: Guard.integer({ min: 1 }) },
  { ratio: Guard.number({ min: 0, max: 1 }) },
);

/** What the machine gives the process: memory in MB, and descriptors. */
const machine = { memory: Guard.number({ min: 64 }), descriptors: Guard.integer({ min: 256 }) };

const proxy = Guard.strictObject(
  { node: name, zone: name, listen: Guard.address, ops: Guard.address, agent: Guard.address },
  {
    ...machine,
    concurrent: Guard.integer({ min: 1, max: 1_000_000 }),
    drain: Guard.integer({ min: 0, max: 3_600_000 }),
    extra_tries: extraTries,
    linger: Guard.integer({ min: 0, max: 3_600_000 }),
    takes_long: Guard.integer({ min: 0, max: 3_600_000 }),
    key_lease: Guard.integer({ min: 1, max: 3_600_000 }),
    warmup_overshoot: Guard.number({ min: 1 }),
    ready_path: Guard.string({ like: /^\/[^\s?#:*]*$/, as: 'a path that begins with /' }),
  },
);

const agent = Guard.strictObject(
  { node: name, zone: name, wire: Guard.address, feed: Guard.address, ops: Guard.address, seeds },
  machine,
);

const token = Guard.string({ min: 8, max: 256 });
const operator = Guard.strictObject(
  { name, token },
  { teams: Guard.list(name, { min: 1 }), secrets: Guard.boolean },
);

const control = Guard.strictObject(
  {
    node: name,
    zone: name,
    wire: Guard.address,
    http: Guard.address,
    seeds,
    data: Guard.string({ max: 4096 }),
    operators: Guard.list(operator, { min: 1, max: 100 }),
    platform: Guard.list(Guard.strictObject({ name, token }), { min: 1, max: 100 }),
  },
  {
    ...machine,
    extra_tries: extraTries,
    losses: Guard.integer({ min: 0, max: 4 }),
    initial: Guard.boolean,
    names_draining: Guard.integer({ min: 0, max: 3_600_000 }),
    key_file: Guard.string({ max: 4096 }),
  },
);

/** The validated startup parameters of each daemon. */
export type Startup = {
  readonly proxy: Guard.Of<typeof proxy>;
  readonly agent: Guard.Of<typeof agent>;
  readonly control: Guard.Of<typeof control>;
};

/** The guard of each daemon's startup parameters. */
export const Startup = { proxy, agent, control };
