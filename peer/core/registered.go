package core

import (
	"saffronfall/rule/message"
	"saffronfall/rule/partition"
	"saffronfall/rule/verdict"
)

// Messages about members, programs, configuration and entries, under their outer names.
func init() {
	message.Register(map[string]any{
		"core.AskSamples":         AskSamples{},
		"core.Samples":            Samples{},
		"core.JoinMember":         JoinMember{},
		"core.RenewMember":        RenewMember{},
		"core.LeaveMember":        LeaveMember{},
		"core.Termed":             Termed{},
		"core.OpenUser":           OpenUser{},
		"core.ChargeUser":         ChargeUser{},
		"core.UserDay":            UserDay{},
		"core.OpenProgram":        OpenProgram{},
		"core.ClaimProgram":       ClaimProgram{},
		"core.SaveProgram":        SaveProgram{},
		"core.HandProgram":        HandProgram{},
		"core.Programmed":         Programmed{},
		"core.ShareTenant":        ShareTenant{},
		"core.ShareRates":         ShareRates{},
		"core.SharedRates":        SharedRates{},
		"core.DrawBreaker":        DrawBreaker{},
		"core.Shared":             Shared{},
		"core.AdmitTest":          AdmitTest{},
		"core.ResultTest":         ResultTest{},
		"core.Tested":             Tested{},
		"core.ClaimOnce":          ClaimOnce{},
		"core.EndOnce":            EndOnce{},
		"core.Once":               Once{},
		"core.ReadEntries":        ReadEntries{},
		"core.Entries":            Entries{},
		"core.ReadLocked":         ReadLocked{},
		"core.LockedUsers":        LockedUsers{},
		"core.AgreeConfiguration": AgreeConfiguration{},
		"core.Agreed":             Agreed{},
		"core.SetFloor":           SetFloor{},
		"core.Floored":            Floored{},
		"core.Done":               Done{},
		"core.PartMessage":        PartMessage{},
		"core.Command":            Command{},
		"core.CommandReturn":      CommandReturn{},
		"core.Pull":               Pull{},
		"core.News":               News{},
		"core.Fresh":              Fresh{},
		"core.Topology":           Topology{},
	})
}

// Messages about turns, rates and routing tables.
func init() {
	message.Register(map[string]any{
		"core.ReserveTurn":  ReserveTurn{},
		"core.TurnReserved": TurnReserved{},
		"core.SettleTurn":   SettleTurn{},
		"core.KeepTurn":     KeepTurn{},
		"core.ReadTurn":     ReadTurn{},
		"core.KeptTurn":     KeptTurn{},
		"core.ProlongTurn":  ProlongTurn{},
		"core.DrawRates":    DrawRates{},
		"core.RatesDrawn":   RatesDrawn{},
		"core.AgreeTable":   AgreeTable{},
		"core.TableAgreed":  TableAgreed{},
		"core.FindOrder":    FindOrder{},
		"core.ReadTable":    ReadTable{},
		"core.AgreedTable":  AgreedTable{},
	})
}

// Messages about cores and the seats of groups.
func init() {
	message.Register(map[string]any{
		"core.PutCore":    PutCore{},
		"core.ChangeSeat": ChangeSeat{},
		"core.Present":    Present{},
		"core.FoundFleet": FoundFleet{},
		"core.RetireCore": RetireCore{},
		"core.Retiring":   Retiring{},
		"core.ReadSeats":  ReadSeats{},
		"core.Seats":      Seats{},
		"core.CoreEnded":  CoreEnded{},
	})
}

// Messages of rule packages that cores send.
func init() {
	message.Register(map[string]any{
		"verdict.Verdict":  verdict.Verdict{},
		"part.Stand":       partition.Prepare{},
		"part.Promise":     partition.Promise{},
		"part.Refuse":      partition.Reject{},
		"part.Write":       partition.Write{},
		"part.Taken":       partition.WriteAck{},
		"part.Renew":       partition.RenewLease{},
		"part.Renewed":     partition.LeaseAck{},
		"part.Handover":    partition.TransferLeadership{},
		"part.TermDurable": partition.TermDurable{},
	})
}
