/**
 * Names of headers, paths and fields of the platform's protocol, for the simulated platform only.
 */

/** The names of the protocol. */
export const Words = {
  attempt: 'Attempt-Id',
  remaining: 'Remaining-Time',
  parts: 'Prompt-Prefix',
  lastEvent: 'Last-Event-Id',
  seal: 'Server-Seal',
  target: 'Target-Instance',
  notExecuted: 'Not-Executed',
  retryAfter: 'Retry-After',
  base: 'Base-Revision',
  instance: 'Instance-Id',
  key: 'Key',
  subscriber: 'Subscriber',
  warmup: 'Warmup-Remaining',
  model: 'Model',
  tokens: 'Token-Count',
  priority: 'Priority-Level',
  weights: 'Weight-Versions',
  expected: 'Expected-Revision',
  paths: {
    list: '/instances',
    report: '/report',
    health: '/health',
    resolution: '/resolution',
    readiness: '/readiness',
    replace: '/configuration/replace',
    read: '/configuration/read',
    evacuate: (zone: string) => `/evacuation/${zone}/begin`,
    takeBack: (zone: string) => `/evacuation/${zone}/finish`,
  },
} as const;
