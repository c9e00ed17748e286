/** What three cores may lose at once; the cases are in losses.ts. */

import { Losses } from './losses.js';

Losses.describe(1);
