import type { ServiceName, TaskId } from '@pewterlanding/model';

/** A caller's question. */
export interface LiveTask {
  readonly id: TaskId;
  readonly quota: string | undefined;
  readonly service: ServiceName;
  /** JSON text. */
  readonly input: string;
}
