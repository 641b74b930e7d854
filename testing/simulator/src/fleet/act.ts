import type { Ground } from './ground.js';

/** A fault on real processes, which also brings about its own repair. */
export type Act = (ground: Ground) => Promise<void>;
