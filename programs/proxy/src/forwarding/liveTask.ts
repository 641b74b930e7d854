import type { ServiceName, TaskId } from '@pewterlanding/model';

/** An inspected live request, as the client sent it. */
export interface LiveTask {
  readonly id: TaskId;
  /** The quota that it is charged to; not checked yet. */
  readonly quota: string | undefined;
  readonly service: ServiceName;
  /** JSON text. */
  readonly input: string;
}
