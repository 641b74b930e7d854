import type { Address } from '@pewterlanding/model';
import type { SimDisk } from '../disk/index.js';
import type { SimMachine } from '../engine/index.js';
import type { SimProcess } from './simProcess.js';

/** A simulated machine with its disk and, while it runs, its process. */
export interface SimHost {
  readonly role: 'controller' | 'store' | 'front';
  readonly machine: SimMachine;
  readonly disk: SimDisk;
  readonly address: Address;
  readonly proxyAddress: Address;
  process: SimProcess | undefined;
}
