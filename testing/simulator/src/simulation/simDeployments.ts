interface SimDeployment {
  readonly fronts: number;
  readonly controllers: number;
  readonly stores: number;
  readonly models: number;
  /** How many of the machines that hold copies may be lost at once. */
  readonly tolerance: number;
  /** Controllers and stores join by announcing themselves. */
  readonly joining?: { readonly copies: number };
}

/** The deployments that simulated days are played on: small and large, losing one machine or two at once. */
export const simDeployments: Readonly<Record<string, SimDeployment>> = {
  listed: { fronts: 4, controllers: 3, stores: 3, models: 5, tolerance: 1 },
  small: { fronts: 4, controllers: 3, stores: 3, models: 5, tolerance: 1, joining: { copies: 3 } },
  smallTwo: { fronts: 4, controllers: 5, stores: 5, models: 5, tolerance: 2, joining: { copies: 5 } },
  large: { fronts: 12, controllers: 3, stores: 5, models: 10, tolerance: 1, joining: { copies: 3 } },
  largeTwo: { fronts: 12, controllers: 5, stores: 7, models: 10, tolerance: 2, joining: { copies: 5 } },
};
