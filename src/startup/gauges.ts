// Gauges that are read when somebody asks, under the system's prefix.
import { Gauge, type Registry } from 'prom-client';

export type Gauges = (name: string, help: string, read: () => number) => void;

export const Gauges = {
  of:
    (registry: Registry): Gauges =>
    (name, help, read) => {
      new Gauge({
        name: `bramblebend_${name}`,
        help,
        registers: [registry],
        collect() {
          this.set(read());
        },
      });
    },
};
