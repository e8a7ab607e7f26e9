package main

import (
	"strconv"
	"time"

	"bitternmoor/internal/core/eventlog"
)

// sofia is the small deployment of the page of the nightly scoring.
func sofia(machines int) site {
	zones := []string{"sofia-east", "plovdiv-main"}
	return site{
		count: 3, zones: zones, teams: []string{"credit-ops"},
		objectives: objective("finished", "repayment-recon", 90, 0.88) + objective("finished", "repayment-recon", 150, 0.97) +
			objective("wait", "fraud-screen", 40, 0.95) + objective("wait", "archive-compact", 180, 0.85),
		reportS: 1, leaseS: 10, cancelS: 30,
		stateRPS: 200, writeRPS: 15, valueKB: 8, txnOps: 12,
		cloudRPS: 2, listLagS: 3, cpu: 0.24, ramMB: 98, fds: 900,
		types: []eventlog.MachineType{
			{Name: "kantor", CPUs: 8, MemoryGB: 32, CacheGB: 35, FetchGBPS: 0.5, Price: 0.57, SpotPrice: 0.18, BootS: 40, Zones: zones},
		},
		capacity: map[string]int{"sofia-east": machines, "plovdiv-main": 0},
		boot:     2 * time.Second,
	}
}

// maritsa is the deployment of the page of the equipment leasing, with few machines.
func maritsa(machines int) site {
	zones := []string{"haskovo-north", "stara-zagora"}
	return site{
		count: 7, zones: zones, teams: []string{"haskovo-leasing"},
		objectives: objective("finished", "contract-batch", 200, 0.88) + objective("finished", "contract-batch", 300, 0.97) +
			objective("wait", "lease-desk", 1, 0.88) + objective("wait", "dawn-checks", 1, 0.93),
		reportS: 4, leaseS: 18, cancelS: 43,
		stateRPS: 200, writeRPS: 80, valueKB: 32, txnOps: 48,
		cloudRPS: 5, listLagS: 3, cpu: 0.48, ramMB: 234, fds: 1500,
		types: []eventlog.MachineType{
			{Name: "vrabche", CPUs: 8, MemoryGB: 64, CacheGB: 40, FetchGBPS: 0.6, Price: 0.74, SpotPrice: 0.22, BootS: 15, Zones: zones},
			{Name: "orel", CPUs: 64, MemoryGB: 128, CacheGB: 35, FetchGBPS: 0.8, Price: 4.07, SpotPrice: 1.08, BootS: 25, Zones: zones},
			{Name: "sova", CPUs: 12, GPUs: 2, MemoryGB: 48, CacheGB: 120, FetchGBPS: 0.6, Price: 6.9, SpotPrice: 1.84, BootS: 45, Zones: zones},
		},
		capacity: map[string]int{"haskovo-north": machines, "stara-zagora": 0},
		boot:     2 * time.Second,
	}
}

func objective(kind, class string, within, share float64) string {
	return "[[deployment.objectives]]\nkind = \"" + kind + "\"\nclass = \"" + class + "\"\nwithin_s = " +
		ftoa(within) + "\nshare = " + ftoa(share) + "\n"
}

func ftoa(v float64) string { return strconv.FormatFloat(v, 'f', 3, 64) }
