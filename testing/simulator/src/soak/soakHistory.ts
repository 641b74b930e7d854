import type { RunRecord, ToldRecord } from '@pewterlanding/stand-ins';

/** A time in which requests at a machine may be lost: from its kill until it serves again. */
interface Outage {
  readonly machine: string;
  readonly fromMs: number;
  toMs: number;
}

/** The end of a process that was told to end. */
interface ProcessEnd {
  readonly process: string;
  readonly exitCode: number;
}

/** What was seen from outside during a soak. */
export class SoakHistory {
  readonly told: { readonly machine: string; readonly record: ToldRecord }[] = [];
  readonly ran = new Set<RunRecord['key']>();
  readonly outages: Outage[] = [];
  readonly ends: ProcessEnd[] = [];
  /** Processes that had ended by themselves. */
  readonly gone: string[] = [];
  readonly events: string[] = [];
}
