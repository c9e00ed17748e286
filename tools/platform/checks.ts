/**
 * All checks of the simulated platform, by name. They read only the recordings of clients, servers, operator and list.
 */
import { AnswerChecks } from './answer-checks.js';
import { ConfigurationChecks } from './configuration-checks.js';
import { ConnectionChecks } from './connection-checks.js';
import { DirectoryChecks } from './directory-checks.js';
import type { Recording } from './recording.js';
import { ServiceChecks } from './service-checks.js';
import { TenantChecks } from './tenant-checks.js';
import { TimeChecks } from './time-checks.js';
import { TrafficChecks } from './traffic-checks.js';
import type { Verdict } from './verdict.js';

/** The checks by name. */
export type Checks = Readonly<Record<string, Verdict.Check>>;

const all: Checks = {
  ...AnswerChecks,
  ...ConnectionChecks,
  ...TrafficChecks,
  ...ConfigurationChecks,
  ...TimeChecks,
  ...ServiceChecks,
  ...DirectoryChecks,
  ...TenantChecks,
};

/** Runs all checks. */
export const Checks = {
  all,
  judge: (recording: Recording, bounds: Verdict.Bounds): Readonly<Record<string, Verdict>> =>
    Object.fromEntries(Object.entries(all).map(([name, check]) => [name, check(recording, bounds)])),
};
